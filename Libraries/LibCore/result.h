#pragma once

#include <concepts>
#include <optional>
#include <system_error>
#include <type_traits>
#include <utility>
#include <variant>

namespace quetzalcleat::core {

/// Either a value or the error that kept a call from producing one.
template <typename Value>
class [[nodiscard]] result
{
public:
    result(Value value) : m_content(std::in_place_index<0>, std::move(value)) { }
    result(std::error_code error) : m_content(std::in_place_index<1>, error) { }
    template <typename ErrorEnum>
    requires std::is_error_code_enum<ErrorEnum>::value result(ErrorEnum error)
        : m_content(std::in_place_index<1>, make_error_code(error))
    {
    }

    bool hasValue() const { return m_content.index() == 0; }
    explicit operator bool() const { return hasValue(); }

    /// Precondition: hasValue().
    Value &value() & { return std::get<0>(m_content); }
    const Value &value() const & { return std::get<0>(m_content); }
    Value &&value() && { return std::get<0>(std::move(m_content)); }

    /// The error, or a default error code if there is a value.
    std::error_code error() const
    {
        return hasValue() ? std::error_code() : std::get<1>(m_content);
    }

private:
    std::variant<Value, std::error_code> m_content;
};

/// Success, or the error that kept a call from succeeding.
template <>
class [[nodiscard]] result<void>
{
public:
    result() = default;
    result(std::error_code error) : m_error(error) { }
    template <typename ErrorEnum>
    requires std::is_error_code_enum<ErrorEnum>::value result(ErrorEnum error)
        : m_error(make_error_code(error))
    {
    }

    bool hasValue() const { return !m_error; }
    explicit operator bool() const { return hasValue(); }
    std::error_code error() const { return m_error; }

private:
    std::error_code m_error;
};

} // namespace quetzalcleat::core
