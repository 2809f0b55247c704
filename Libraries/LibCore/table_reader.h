#pragma once

#include "LibCore/core_error.h"
#include "LibCore/settings.h"
#include "LibCore/toml_document.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::core {

/// Collects the errors of one file. Errors after the first hundred are dropped, which bounds the
/// size of the answer to a document that is wrong throughout.
class error_list
{
public:
    explicit error_list(std::string_view fileName) : m_fileName(fileName) { }

    void add(std::error_code code, std::uint32_t line, std::string detail);
    bool empty() const { return m_errors.empty(); }

    /// The errors in the order of their lines.
    std::vector<located_error> takeSorted();

private:
    std::string m_fileName;
    std::vector<located_error> m_errors;
};

/// Reads the members of one TOML table with checks of type and range.
///
/// Each problem goes to the error list; the reader then returns no value. Keys that were never read
/// are reported by reportUnknownKeys().
class table_reader
{
public:
    /// The path is the table's name in error details, for example "host"; empty for the root.
    table_reader(const toml_table &table, std::uint32_t line, std::string_view path,
                 error_list &errors);

    std::uint32_t line() const { return m_line; }
    /// Line of the key, or of the table if it has no such key.
    std::uint32_t lineOf(std::string_view key) const;
    bool has(std::string_view key) const { return m_table.find(key) != nullptr; }

    std::optional<std::string> text(std::string_view key);
    std::optional<bool> boolean(std::string_view key);
    /// An integer from minimum to maximum.
    std::optional<std::int64_t> integer(std::string_view key, std::int64_t minimum,
                                        std::int64_t maximum);
    /// A finite floating-point number or integer.
    std::optional<double> number(std::string_view key);
    std::optional<socket_address> address(std::string_view key);
    std::vector<std::string> textList(std::string_view key);

    /// Like text() and address(), but a missing key is an error, and so is an empty text.
    std::string requiredText(std::string_view key);
    socket_address requiredAddress(std::string_view key);

    /// A reader for a nested table; no value if the key is absent.
    std::optional<table_reader> table(std::string_view key);
    /// A reader for each table of an array of tables.
    std::vector<table_reader> tables(std::string_view key);

    void report(std::error_code code, std::string_view key, std::string_view remark = {});
    /// Reports every key of the table that was not read.
    void reportUnknownKeys();

private:
    const toml_value *find(std::string_view key);
    template <typename Type>
    const Type *findTyped(std::string_view key);
    std::string pathOf(std::string_view key) const;

    const toml_table &m_table;
    std::uint32_t m_line;
    std::string m_path;
    error_list &m_errors;
    std::set<std::string, std::less<>> m_readKeys;
};

} // namespace quetzalcleat::core
