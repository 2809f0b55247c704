#include "LibPeer/message_codec.h"

#include "LibPeer/message_fields.h"
#include "LibPeer/peer_error.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <concepts>
#include <exception>
#include <limits>
#include <utility>

#include <msgpack.hpp>

namespace quetzalcleat::peer {

namespace {

/// Deepest nesting of arrays in a valid message: message, structure, list, element.
constexpr std::size_t maximumDepth = 4;

class string_buffer
{
public:
    // The name is required by msgpack::packer.
    void write(const char *data, std::size_t size) { m_bytes.append(data, size); }
    std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

using string_packer = msgpack::packer<string_buffer>;

class field_writer
{
public:
    explicit field_writer(string_packer &packer) : m_packer(packer) { }

    template <typename Structure>
    void fields(const Structure &value)
    {
        std::apply([&](auto... member) { (write(value.*member), ...); }, detail::fields<Structure>);
    }

    /// Of the lists written so far.
    std::size_t longestList() const { return m_longestList; }

private:
    void write(bool value)
    {
        if (value)
            m_packer.pack_true();
        else
            m_packer.pack_false();
    }
    void write(const std::string &value)
    {
        m_packer.pack_bin(static_cast<std::uint32_t>(value.size()));
        m_packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }
    template <std::unsigned_integral Integer>
    void write(Integer value)
    {
        m_packer.pack_uint64(value);
    }
    void write(std::chrono::milliseconds value)
    {
        m_packer.pack_uint64(static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0)));
    }
    template <typename Enum>
    requires std::is_enum_v<Enum>
    void write(Enum value) { m_packer.pack_uint64(static_cast<std::uint64_t>(value)); }
    template <typename Element>
    void write(const std::vector<Element> &elements)
    {
        m_longestList = std::max(m_longestList, elements.size());
        m_packer.pack_array(static_cast<std::uint32_t>(elements.size()));
        for (const auto &element : elements)
            write(element);
    }
    template <typename Structure>
    requires std::is_class_v<Structure>
    void write(const Structure &value)
    {
        m_packer.pack_array(detail::fieldCount<Structure>);
        fields(value);
    }

    string_packer &m_packer;
    std::size_t m_longestList = 0;
};

struct encoded_message
{
    std::string bytes;
    std::size_t longestList = 0;
};

encoded_message encode(const message &content)
{
    string_buffer buffer;
    string_packer packer(buffer);
    field_writer writer(packer);
    std::visit(
        [&]<typename Message>(const Message &alternative) {
            packer.pack_array(1 + detail::fieldCount<Message>);
            packer.pack_uint64(content.index());
            writer.fields(alternative);
        },
        content);
    return {buffer.take(), writer.longestList()};
}

/// Reads the elements of one array in turn. After a mismatch it reads nothing more.
class field_reader
{
public:
    field_reader(const msgpack::object_array &array, std::uint32_t first)
        : m_array(array), m_next(first)
    {
    }

    /// Whether the rest of the array is exactly this structure.
    template <typename Structure>
    bool fields(Structure &value)
    {
        std::apply([&](auto... member) { (read(value.*member), ...); }, detail::fields<Structure>);
        return m_valid && m_next == m_array.size;
    }

private:
    const msgpack::object *take(msgpack::type::object_type type)
    {
        if (!m_valid || m_next >= m_array.size || m_array.ptr[m_next].type != type) {
            m_valid = false;
            return nullptr;
        }
        return &m_array.ptr[m_next++];
    }

    void read(bool &value)
    {
        if (const auto *object = take(msgpack::type::BOOLEAN))
            value = object->via.boolean;
    }
    void read(std::string &value)
    {
        if (const auto *object = take(msgpack::type::BIN))
            value.assign(object->via.bin.ptr, object->via.bin.size);
    }
    template <std::unsigned_integral Integer>
    void read(Integer &value)
    {
        const auto *object = take(msgpack::type::POSITIVE_INTEGER);
        if (object == nullptr)
            return;
        m_valid = object->via.u64 <= std::numeric_limits<Integer>::max();
        value = static_cast<Integer>(object->via.u64);
    }
    void read(std::chrono::milliseconds &value)
    {
        std::uint32_t count = 0;
        read(count);
        value = std::chrono::milliseconds(count);
    }
    void read(verdict_kind &value) { readEnumerator(value, verdict_kind::Order); }
    void read(state::edit_verdict_kind &value)
    {
        readEnumerator(value, state::edit_verdict_kind::EditIdReused);
    }
    void read(state::claim_verdict_kind &value)
    {
        readEnumerator(value, state::claim_verdict_kind::AttemptAbandoned);
    }
    void read(state::order_state &value) { readEnumerator(value, state::order_state::Undone); }
    void read(propose_outcome &value) { readEnumerator(value, propose_outcome::Undecided); }
    void read(gossip_kind &value) { readEnumerator(value, gossip_kind::ExchangeAnswer); }
    void read(member_state &value) { readEnumerator(value, member_state::Dead); }
    template <typename Enum>
    void readEnumerator(Enum &value, Enum last)
    {
        std::uint8_t number = 0;
        read(number);
        if (number > static_cast<std::uint8_t>(last))
            m_valid = false;
        else
            value = static_cast<Enum>(number);
    }
    template <typename Element>
    void read(std::vector<Element> &elements)
    {
        const auto *object = take(msgpack::type::ARRAY);
        if (object == nullptr)
            return;
        field_reader list(object->via.array, 0);
        elements.resize(object->via.array.size);
        for (auto &element : elements)
            list.read(element);
        m_valid = list.m_valid;
    }
    template <typename Structure>
    requires std::is_class_v<Structure>
    void read(Structure &value)
    {
        if (const auto *object = take(msgpack::type::ARRAY))
            m_valid = field_reader(object->via.array, 0).fields(value);
    }

    const msgpack::object_array &m_array;
    std::uint32_t m_next;
    bool m_valid = true;
};

template <std::size_t Index>
core::result<message> decodeAlternative(const msgpack::object_array &array)
{
    std::variant_alternative_t<Index, message> content;
    if (!field_reader(array, 1).fields(content))
        return peer_error::MalformedBody;
    return message(std::move(content));
}

template <std::size_t... Index>
core::result<message> decodeByType(const msgpack::object_array &array, std::uint64_t type,
                                   std::index_sequence<Index...> /*types*/)
{
    using decoder = core::result<message> (*)(const msgpack::object_array &);
    static constexpr std::array<decoder, sizeof...(Index)> decoders{&decodeAlternative<Index>...};
    if (type >= decoders.size())
        return peer_error::UnknownMessage;
    return decoders[type](array);
}

core::result<message> decodeObject(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0
        || object.via.array.ptr[0].type != msgpack::type::POSITIVE_INTEGER)
        return peer_error::MalformedBody;
    return decodeByType(object.via.array, object.via.array.ptr[0].via.u64,
                        std::make_index_sequence<std::variant_size_v<message>>{});
}

/// Makes the parser reference strings in the input instead of copying them.
bool referenceInput(msgpack::type::object_type /*type*/, std::size_t /*size*/, void * /*context*/)
{
    return true;
}

} // namespace

std::string encodeMessage(const message &content)
{
    return encode(content).bytes;
}

core::result<std::string> encodeForPeer(const message &content)
{
    auto encoded = encode(content);
    if (encoded.longestList > maximumListLength)
        return peer_error::ListTooLong;
    if (encoded.bytes.size() > maximumMessageBytes)
        return peer_error::MessageTooLarge;
    return std::move(encoded.bytes);
}

core::result<message> decodeMessage(std::string_view bytes)
{
    if (bytes.size() > maximumMessageBytes)
        return peer_error::MessageTooLarge;
    const msgpack::unpack_limit limits(std::min(bytes.size(), maximumListLength), 0, 0,
                                       bytes.size(), 0, maximumDepth);
    // The parser reports malformed input by exceptions only.
    try {
        std::size_t offset = 0;
        bool referenced = false;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, referenced,
                                            referenceInput, nullptr, limits);
        if (offset != bytes.size())
            return peer_error::MalformedBody;
        return decodeObject(handle.get());
    } catch (const msgpack::unpack_error &) {
        return peer_error::MalformedBody;
    }
}

} // namespace quetzalcleat::peer
