#include "measurements.h"

#include "LibState/replicated_state.h"

#include <iostream>

namespace quetzalcleat::measurement {

namespace {

constexpr std::size_t claims = 100'000;
constexpr std::size_t answerBytes = 200;

state::claim_attempt makeAttempt(std::size_t index)
{
    const auto number = std::to_string(1'000'000'000'000 + index);
    return {{"caller-name", "idempotency-key-" + number}, "attempt-" + number, "reykjavik-a-1", 1};
}

/// Encoded size of a series of commands and time to encode, decode and apply them.
struct command_cost
{
    std::size_t bytes = 0;
    std::chrono::nanoseconds time{0};
};

template <typename MakeBody>
command_cost applyAll(state::replicated_state &target, std::uint64_t &index, std::size_t count,
                      MakeBody makeBody)
{
    command_cost cost;
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t number = 0; number < count; ++number) {
        const auto bytes = state::encodeCommand(
            {core::wall_time(std::chrono::milliseconds(1'000 + number)), makeBody(number)});
        cost.bytes += bytes.size();
        (void)target.applyEncoded(++index, bytes);
    }
    cost.time = std::chrono::steady_clock::now() - begin;
    return cost;
}

void print(std::string_view name, const command_cost &cost, std::size_t count)
{
    std::cout << name << " bytes " << cost.bytes / count << " encode_decode_apply_us "
              << std::chrono::duration<double, std::micro>(cost.time).count()
            / static_cast<double>(count)
              << '\n';
}

void measureClaims()
{
    state::replicated_state target;
    std::uint64_t index = 0;
    const auto before = allocatedBytes();
    const auto beginCost = applyAll(target, index, claims, [](std::size_t number) {
        return state::claim_begin{{makeAttempt(number), std::string(64, 'a')}};
    });
    const auto finishCost = applyAll(target, index, claims, [](std::size_t number) {
        return state::claim_finish{
            {makeAttempt(number), true, {200, "application/json", std::string(answerBytes, 'b')}}};
    });
    print("claim_begin", beginCost, claims);
    print("claim_finish", finishCost, claims);
    std::cout << "claim memory_bytes " << (allocatedBytes() - before) / claims << '\n';
    const auto begin = std::chrono::steady_clock::now();
    const auto snapshot = target.snapshot();
    const std::chrono::duration<double, std::milli> taken
        = std::chrono::steady_clock::now() - begin;
    std::cout << "snapshot claims " << target.claimCount() << " bytes_per_claim "
              << snapshot.size() / claims << " time_ms " << taken.count() << '\n';
}

void measureEdits()
{
    constexpr std::size_t edits = 1'200;
    constexpr std::size_t documentBytes = 400'000;
    state::replicated_state target;
    std::uint64_t index = 0;
    const auto before = allocatedBytes();
    const auto cost = applyAll(target, index, edits, [](std::size_t number) {
        return state::apply_edit{
            {"edit-" + std::to_string(number), number, std::string(documentBytes, 'c'), "operator"},
            {}};
    });
    print("edit_of_400kB", cost, edits);
    std::cout << "edit memory_bytes_without_document "
              << (allocatedBytes() - before - documentBytes) / edits << " revision "
              << target.currentConfiguration().revision << '\n';
}

} // namespace

void measureState()
{
    measureClaims();
    measureEdits();
}

} // namespace quetzalcleat::measurement
