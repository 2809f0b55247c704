#include "LibCore/table_reader.h"

#include <algorithm>
#include <cmath>

namespace quetzalcleat::core {

namespace {

constexpr std::size_t maximumErrors = 100;

} // namespace

void error_list::add(std::error_code code, std::uint32_t line, std::string detail)
{
    if (m_errors.size() < maximumErrors)
        m_errors.push_back({code, m_fileName, line, std::move(detail)});
}

std::vector<located_error> error_list::takeSorted()
{
    std::stable_sort(m_errors.begin(), m_errors.end(),
                     [](const auto &left, const auto &right) { return left.line < right.line; });
    return std::move(m_errors);
}

table_reader::table_reader(const toml_table &table, std::uint32_t line, std::string_view path,
                           error_list &errors)
    : m_table(table), m_line(line), m_path(path), m_errors(errors)
{
}

std::uint32_t table_reader::lineOf(std::string_view key) const
{
    const auto *member = m_table.find(key);
    return member ? member->line : m_line;
}

const toml_value *table_reader::find(std::string_view key)
{
    m_readKeys.emplace(key);
    const auto *member = m_table.find(key);
    return member ? &member->value : nullptr;
}

template <typename Type>
const Type *table_reader::findTyped(std::string_view key)
{
    const auto *value = find(key);
    if (!value)
        return nullptr;
    const auto *content = std::get_if<Type>(&value->content);
    if (!content)
        report(core_error::WrongType, key);
    return content;
}

std::optional<std::string> table_reader::text(std::string_view key)
{
    const auto *content = findTyped<std::string>(key);
    return content ? std::optional(*content) : std::nullopt;
}

std::optional<bool> table_reader::boolean(std::string_view key)
{
    const auto *content = findTyped<bool>(key);
    return content ? std::optional(*content) : std::nullopt;
}

std::optional<std::int64_t> table_reader::integer(std::string_view key, std::int64_t minimum,
                                                  std::int64_t maximum)
{
    const auto *content = findTyped<std::int64_t>(key);
    if (!content)
        return std::nullopt;
    if (*content < minimum || *content > maximum) {
        report(core_error::OutOfRange, key,
               "allowed: " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return std::nullopt;
    }
    return *content;
}

std::optional<double> table_reader::number(std::string_view key)
{
    const auto *value = find(key);
    if (!value)
        return std::nullopt;
    if (const auto *integer = std::get_if<std::int64_t>(&value->content))
        return static_cast<double>(*integer);
    const auto *number = std::get_if<double>(&value->content);
    if (!number) {
        report(core_error::WrongType, key);
        return std::nullopt;
    }
    if (!std::isfinite(*number)) {
        report(core_error::OutOfRange, key, "not a finite number");
        return std::nullopt;
    }
    return *number;
}

std::optional<socket_address> table_reader::address(std::string_view key)
{
    const auto *content = findTyped<std::string>(key);
    if (!content)
        return std::nullopt;
    auto address = parseSocketAddress(*content);
    if (!address)
        report(core_error::InvalidAddress, key, *content);
    return address;
}

std::vector<std::string> table_reader::textList(std::string_view key)
{
    std::vector<std::string> texts;
    const auto *content = findTyped<toml_array>(key);
    if (!content)
        return texts;
    for (const auto &item : content->items) {
        if (const auto *text = std::get_if<std::string>(&item.content))
            texts.push_back(*text);
        else
            m_errors.add(core_error::WrongType, item.line, pathOf(key));
    }
    return texts;
}

std::string table_reader::requiredText(std::string_view key)
{
    auto content = text(key);
    if (!has(key) || (content && content->empty()))
        report(core_error::MissingKey, key);
    return std::move(content).value_or(std::string());
}

socket_address table_reader::requiredAddress(std::string_view key)
{
    if (!has(key))
        report(core_error::MissingKey, key);
    return address(key).value_or(socket_address());
}

std::optional<table_reader> table_reader::table(std::string_view key)
{
    const auto *content = findTyped<toml_table>(key);
    if (!content)
        return std::nullopt;
    return table_reader(*content, lineOf(key), pathOf(key), m_errors);
}

std::vector<table_reader> table_reader::tables(std::string_view key)
{
    std::vector<table_reader> readers;
    const auto *content = findTyped<toml_array>(key);
    if (!content)
        return readers;
    for (const auto &item : content->items) {
        if (const auto *table = std::get_if<toml_table>(&item.content))
            readers.emplace_back(*table, item.line, pathOf(key), m_errors);
        else
            m_errors.add(core_error::WrongType, item.line, pathOf(key));
    }
    return readers;
}

void table_reader::report(std::error_code code, std::string_view key, std::string_view remark)
{
    auto detail = pathOf(key);
    if (!remark.empty())
        detail.append(" (").append(remark).append(")");
    m_errors.add(code, lineOf(key), std::move(detail));
}

void table_reader::reportUnknownKeys()
{
    for (const auto &member : m_table.members) {
        if (!m_readKeys.contains(member.key))
            m_errors.add(core_error::UnknownKey, member.line, pathOf(member.key));
    }
}

std::string table_reader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + '.' + std::string(key);
}

} // namespace quetzalcleat::core
