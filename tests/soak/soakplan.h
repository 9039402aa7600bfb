#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/** A fault or an operation that a soak applies to processes or links. */
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
    RestorePlatform,
    LimitTarget,
    LeaveTarget,
    SilencePlatformConnections,
    /** A caller sends a request again and again under which each target crashes. */
    SendCrashingRequest,
    /** Another writer sends announcements that name no target of the service. */
    SendForeignAnnouncements,
    /** An announcement of the target is held back until the node has been killed and started again. */
    DelayAnnouncementOverRestart,
};

/** Steps that a plan contains besides those drawn from all other actions. */
struct SoakExtras {
    /** Restorations of the platform's table; the length of the step is the age of the copy. */
    std::size_t restorations = 0;
    /** Limits and departures that targets state in their answers, in turn. */
    std::size_t statements = 0;
    /** Times at which all open connections to the platform fall silent for good. */
    std::size_t silences = 0;
    /** Requests under which targets crash. */
    std::size_t crashes = 0;
    /** Announcements of another writer, and ones that are held back over a restart of the node, in turn. */
    std::size_t announcements = 0;
};

/** Name of the action in printed plans. */
std::string nameOf(SoakAction action);
/** Returns whether the action may end connections of the VM's callers without an answer. */
bool mayCutRequests(SoakAction action);

/** One action of a plan. Steps of a plan may overlap. */
struct SoakStep {
    /** Start of the action, counted from the start of the traffic. */
    std::chrono::milliseconds at{0};
    /** Time until the action is reverted; a stopped or killed process is then started again. */
    std::chrono::milliseconds length{0};
    SoakAction action = SoakAction::KillNode;
    std::size_t vmIndex = 0;
};

/** Returns the steps in the order of their start; equal arguments give equal plans. The extras change nothing else in the plan. */
std::vector<SoakStep> makeSoakPlan(std::uint64_t seed, std::size_t vmCount, std::chrono::milliseconds length, const SoakExtras &extras);
/** One line for the printed plan. */
std::string toText(const SoakStep &step);
