#include "LibCore/toml_document.h"

#include "LibCore/core_error.h"

#include <algorithm>
#include <optional>

// toml++ 3.3 asserts that a table header starts with a valid key before it reports the error.
#ifndef NDEBUG
#define NDEBUG
#endif
#include <toml++/toml.h>

namespace quetzalcleat::core {

namespace {

constexpr std::size_t maximumKeySegments = 16;
// Bounds the memory of the parsed tables: an empty table takes 430 bytes for each of these
// characters. The largest expected document has about 42,000 of them.
constexpr std::size_t maximumStructuralCharacters = 100'000;
constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

struct input_problem
{
    core_error code = core_error::InvalidSyntax;
    std::uint32_t line = 0;
    std::string_view reason;
};

/// Finds input that toml++ 3.3 does not handle safely, before the text is passed to it.
///
/// - It accepts dotted keys of any length and frees the nested tables recursively, so that one key
///   of a million segments overflows the stack.
/// - Some non-ASCII characters outside of strings, or after a line-ending backslash in a string,
///   cause undefined behaviour in its test for white space. TOML forbids the former; the latter is
///   refused altogether because no key needs it.
class input_check
{
public:
    explicit input_check(std::string_view text) : m_text(text) { }

    std::optional<input_problem> firstProblem()
    {
        if (m_text.starts_with(byteOrderMark))
            m_position = byteOrderMark.size();
        while (m_position < m_text.size() && !m_problem)
            checkNext();
        return m_problem;
    }

private:
    void checkNext()
    {
        const char character = m_text[m_position];
        if (character == '"' || character == '\'') {
            checkString(character);
            return;
        }
        if (character == '#') {
            m_position = std::min(m_text.find('\n', m_position), m_text.size());
            return;
        }
        if (!isAscii(character))
            refuse("character outside of a string or comment is not ASCII");
        if (character == '.' && ++m_segments > maximumKeySegments)
            refuse("dotted key is too long");
        if (std::string_view("=,[]{}\n").find(character) != std::string_view::npos)
            m_segments = 1;
        if (std::string_view("=,[{").find(character) != std::string_view::npos
            && ++m_structuralCharacters > maximumStructuralCharacters)
            refuse("too many values", core_error::FileTooLarge);
        advance();
    }

    void checkString(char quote)
    {
        const std::string longQuote(3, quote);
        const bool multiLine = m_text.substr(m_position, 3) == longQuote;
        const std::string_view closing = std::string_view(longQuote).substr(0, multiLine ? 3 : 1);
        m_position += closing.size();
        while (m_position < m_text.size() && !m_problem) {
            if (m_text.substr(m_position, closing.size()) == closing) {
                m_position += closing.size();
                // Up to two quotes may stand right before the closing ones.
                while (multiLine && m_position < m_text.size() && m_text[m_position] == quote)
                    ++m_position;
                return;
            }
            if (!multiLine && m_text[m_position] == '\n')
                return;
            if (quote == '"' && m_text[m_position] == '\\') {
                advance();
                checkEscape();
            }
            advance();
        }
    }

    void checkEscape()
    {
        if (m_position >= m_text.size())
            return;
        const char character = m_text[m_position];
        if (!isAscii(character) || character <= ' ')
            refuse("line-ending backslash is not supported");
    }

    static bool isAscii(char character) { return static_cast<unsigned char>(character) < 0x80; }

    void advance()
    {
        if (m_position < m_text.size() && m_text[m_position] == '\n')
            ++m_line;
        ++m_position;
    }

    void refuse(std::string_view reason, core_error code = core_error::InvalidSyntax)
    {
        if (!m_problem)
            m_problem = input_problem{code, m_line, reason};
    }

    std::string_view m_text;
    std::size_t m_position = 0;
    std::size_t m_segments = 1;
    std::size_t m_structuralCharacters = 0;
    std::uint32_t m_line = 1;
    std::optional<input_problem> m_problem;
};

toml_value convert(const toml::node &node);

toml_table convertTable(const toml::table &table)
{
    toml_table converted;
    converted.members.reserve(table.size());
    for (const auto &[key, node] : table) {
        toml_member member{std::string(key.str()), key.source().begin.line, convert(node)};
        if (member.line == 0)
            member.line = member.value.line;
        if (member.value.line == 0)
            member.value.line = member.line;
        converted.members.push_back(std::move(member));
    }
    return converted;
}

toml_value convert(const toml::node &node)
{
    toml_value value;
    value.line = node.source().begin.line;
    if (const auto *table = node.as_table())
        value.content = convertTable(*table);
    else if (const auto *array = node.as_array()) {
        toml_array converted;
        converted.items.reserve(array->size());
        for (const auto &item : *array)
            converted.items.push_back(convert(item));
        value.content = std::move(converted);
    } else if (const auto *text = node.as_string())
        value.content = text->get();
    else if (const auto *integer = node.as_integer())
        value.content = integer->get();
    else if (const auto *number = node.as_floating_point())
        value.content = number->get();
    else if (const auto *boolean = node.as_boolean())
        value.content = boolean->get();
    return value;
}

} // namespace

const toml_member *toml_table::find(std::string_view key) const
{
    const auto member = std::find_if(members.begin(), members.end(),
                                     [&](const toml_member &entry) { return entry.key == key; });
    return member == members.end() ? nullptr : &*member;
}

std::variant<toml_table, located_error> parseToml(std::string_view text, std::string_view fileName,
                                                  std::size_t maximumBytes)
{
    const std::string file(fileName);
    if (text.size() > maximumBytes)
        return located_error{core_error::FileTooLarge, file, 0, {}};
    if (const auto problem = input_check(text).firstProblem())
        return located_error{problem->code, file, problem->line, std::string(problem->reason)};
    try {
        return convertTable(toml::parse(text));
    } catch (const toml::parse_error &error) {
        return located_error{core_error::InvalidSyntax, file, error.source().begin.line,
                             std::string(error.description())};
    }
}

} // namespace quetzalcleat::core
