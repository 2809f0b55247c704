#include "recovery_measurement.h"

#include "LibConsensus/log_store.h"
#include "LibState/replicated_state.h"

#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string>
#include <utility>

namespace quetzalcleat::explore {

using consensus::log_entry;
using consensus::log_index;
using consensus::log_store;

namespace {

using fractional_milliseconds = std::chrono::duration<double, std::milli>;

constexpr log_index changesPerSnapshot = 700;
constexpr log_index trailingEntries = 100;
constexpr log_index entriesPerSync = 50;
constexpr std::size_t documentBytes = 512;

consensus::membership singleVoter()
{
    return {{{1, consensus::member_role::Voter, "host"}}, 0};
}

/// Makes an edit. The rate is 1,200 edits a day, so that old edit ids expire as in production.
log_entry makeEntry(log_index index)
{
    constexpr std::chrono::seconds editInterval{72};
    state::apply_edit body;
    body.change.editId = "edit" + std::to_string(index);
    body.change.baseRevision = index - 2; // The log begins with the membership.
    body.change.document.assign(documentBytes, static_cast<char>('a' + index % 20));
    const core::wall_time time(std::chrono::hours(24) + editInterval * index);
    return {{1, index}, consensus::entry_kind::Command, state::encodeCommand({time, body})};
}

bool writeLog(const std::filesystem::path &folder, log_index changes, bool snapshots)
{
    auto created = log_store::create(folder, {0, 1}, singleVoter(), {});
    if (!created)
        return false;
    auto &store = created.value();
    state::replicated_state state;
    const auto last = changes + 1;
    for (log_index next = 2; next <= last;) {
        consensus::ready batch;
        batch.hardState = consensus::hard_state{1, 1, next - 1};
        for (; next <= last && batch.entries.size() < entriesPerSync; ++next) {
            batch.entries.push_back(makeEntry(next));
            if (state.applyEncoded(next, batch.entries.back().payload).error)
                return false;
        }
        if (!store.write(batch))
            return false;
        const auto end = next - 1;
        if (!snapshots || (end - 1) % changesPerSnapshot != 0)
            continue;
        const auto content = std::make_shared<const std::vector<std::byte>>(state.snapshot());
        const auto compactionIndex = end > trailingEntries ? end - trailingEntries : 0;
        if (!store.saveSnapshot({{1, end}, singleVoter(), content}, compactionIndex))
            return false;
    }
    return true;
}

struct recovery_time
{
    fractional_milliseconds open{};
    fractional_milliseconds apply{};
    log_index applied = 0;
    std::uint64_t revision = 0;
};

std::optional<recovery_time> recover(const std::filesystem::path &folder)
{
    recovery_time measured;
    const auto start = std::chrono::steady_clock::now();
    auto opened = log_store::open(folder, {});
    if (!opened)
        return std::nullopt;
    const auto restored = opened.value().takeRestored();
    const auto middle = std::chrono::steady_clock::now();
    state::replicated_state state;
    if (restored.latestSnapshot) {
        auto loaded = state::replicated_state::restore(*restored.latestSnapshot->content);
        if (!loaded)
            return std::nullopt;
        state = std::move(loaded).value();
    }
    for (const auto &entry : restored.entries) {
        if (entry.kind != consensus::entry_kind::Command
            || entry.position.index <= state.appliedIndex())
            continue;
        if (state.applyEncoded(entry.position.index, entry.payload).error)
            return std::nullopt;
        ++measured.applied;
    }
    measured.open = middle - start;
    measured.apply = std::chrono::steady_clock::now() - middle;
    measured.revision = state.currentConfiguration().revision;
    return measured;
}

bool measure(const std::filesystem::path &folder, log_index changes, bool snapshots)
{
    std::filesystem::remove_all(folder);
    const auto start = std::chrono::steady_clock::now();
    if (!writeLog(folder, changes, snapshots))
        return false;
    const fractional_milliseconds written = std::chrono::steady_clock::now() - start;
    const auto measured = recover(folder);
    std::filesystem::remove_all(folder);
    if (!measured || measured->revision != changes)
        return false;
    std::cout << std::setw(8) << changes << (snapshots ? "  with    " : "  without ")
              << std::setw(10) << written.count() << std::setw(10) << measured->open.count()
              << std::setw(10) << measured->apply.count() << std::setw(10) << measured->applied
              << '\n';
    return true;
}

} // namespace

bool measureRecovery(const std::filesystem::path &folder)
{
    std::cout << " changes  snapshots  write ms   open ms  apply ms   applied\n"
              << std::fixed << std::setprecision(1);
    for (const log_index changes : {1'000U, 10'000U, 100'000U}) {
        for (const bool snapshots : {true, false}) {
            if (!measure(folder / "recovery-measurement", changes, snapshots)) {
                std::cout << "cannot write or read the log store\n";
                return false;
            }
        }
    }
    return true;
}

} // namespace quetzalcleat::explore
