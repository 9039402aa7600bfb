#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/** What a soak does to the processes and links. */
enum class SoakAction : std::uint8_t {
    KillNode,
    KillTarget,
    KillBoth,
    KillAllNodes,
    StopNode,
    PauseNode,
    ReloadNode,
    PutDocument,
    PlatformDown,
    PlatformSlow,
    PlatformLosesAnswers,
    CutFromPlatform,
    DelayCallers,
    ResetCallers,
    SilenceCallers,
    CutAnnouncements,
};

std::string nameOf(SoakAction action);
/** The seat's callers may see connections end without an answer. */
bool mayCut(SoakAction action);

/** One fault; those of one plan may overlap. */
struct SoakStep {
    /** From the start of traffic. */
    std::chrono::milliseconds at{0};
    /** Until it is taken back; a stopped or killed process starts again then. */
    std::chrono::milliseconds length{0};
    SoakAction action = SoakAction::KillNode;
    std::size_t seat = 0;
};

/** Faults in the order of their times; a seed always gives the same. */
std::vector<SoakStep> makeSoakPlan(std::uint64_t seed, std::size_t seats, std::chrono::milliseconds length);
std::string toText(const SoakStep &step);
