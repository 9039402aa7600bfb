#include "soakplan.h"

#include <algorithm>
#include <array>
#include <random>

namespace {

using std::chrono::milliseconds;

struct ActionTraits {
    SoakAction action;
    const char *name;
    bool mayCutRequests;
    /** Upper limit of the step's length, in milliseconds. */
    int maxLengthMs;
};

constexpr std::array actions{
    ActionTraits{SoakAction::KillNode, "kill node", true, 2500},
    ActionTraits{SoakAction::KillTarget, "kill target", false, 2500},
    ActionTraits{SoakAction::KillBoth, "kill node and target", true, 4000},
    ActionTraits{SoakAction::KillAllNodes, "kill all nodes", true, 1500},
    ActionTraits{SoakAction::StopNode, "stop node", false, 4000},
    ActionTraits{SoakAction::PauseNode, "pause node", true, 3000},
    ActionTraits{SoakAction::ReloadNode, "reload node", false, 1},
    ActionTraits{SoakAction::PutDocument, "put document", false, 1},
    ActionTraits{SoakAction::PlatformDown, "platform down", false, 4000},
    ActionTraits{SoakAction::PlatformSlow, "platform slow", false, 4000},
    ActionTraits{SoakAction::PlatformLosesAnswers, "platform loses answers", false, 1},
    ActionTraits{SoakAction::CutFromPlatform, "cut node from platform", false, 4000},
    ActionTraits{SoakAction::DelayCallers, "delay callers", false, 2000},
    ActionTraits{SoakAction::ResetCallers, "reset callers", true, 1},
    ActionTraits{SoakAction::SilenceCallers, "silence callers", true, 2000},
    ActionTraits{SoakAction::CutAnnouncements, "cut target's announcements", false, 4000},
    ActionTraits{SoakAction::RestorePlatform, "restore platform from a copy", false, 6000},
    ActionTraits{SoakAction::LimitTarget, "target names a limit", false, 9000},
    ActionTraits{SoakAction::LeaveTarget, "target says that it leaves", false, 6000},
    ActionTraits{SoakAction::SilencePlatformConnections, "open connections to the platform fall silent", false, 1},
    ActionTraits{SoakAction::SendCrashingRequest, "send a request that crashes targets", false, 12000},
    ActionTraits{SoakAction::SendForeignAnnouncements, "send announcements of another writer", false, 1},
    ActionTraits{SoakAction::DelayAnnouncementOverRestart, "hold back an announcement over a restart of the node", true, 2500},
};

const ActionTraits &traitsOf(SoakAction action)
{
    return actions[static_cast<std::size_t>(action)];
}

} // namespace

std::string nameOf(SoakAction action)
{
    return traitsOf(action).name;
}

bool mayCutRequests(SoakAction action)
{
    return traitsOf(action).mayCutRequests;
}

std::vector<SoakStep> makeSoakPlan(std::uint64_t seed, std::size_t vmCount, milliseconds length, const SoakExtras &extras)
{
    constexpr milliseconds firstStepDelay(500);
    // One step per second on average.
    const auto count = static_cast<std::size_t>(std::max<milliseconds::rep>(1, length.count() / 1000));
    std::mt19937_64 random(seed);
    const auto below = [&random](std::uint64_t limit) { return random() % limit; };
    std::vector<SoakStep> plan;
    for (std::size_t index = 0; index < count; ++index) {
        SoakStep step;
        step.action = actions[below(static_cast<std::size_t>(SoakAction::RestorePlatform))].action;
        step.vmIndex = below(vmCount);
        step.at = firstStepDelay + milliseconds(below(static_cast<std::uint64_t>(length.count())));
        step.length = milliseconds(1 + below(static_cast<std::uint64_t>(traitsOf(step.action).maxLengthMs)));
        plan.push_back(step);
    }
    const auto addStep = [&](SoakAction action, std::size_t vmIndex) {
        SoakStep step;
        step.action = action;
        step.vmIndex = vmIndex;
        step.at = firstStepDelay + milliseconds(below(static_cast<std::uint64_t>(length.count())));
        step.length = milliseconds(1 + below(static_cast<std::uint64_t>(traitsOf(step.action).maxLengthMs)));
        plan.push_back(step);
    };
    for (std::size_t index = 0; index < extras.restorations; ++index) {
        addStep(SoakAction::RestorePlatform, 0);
    }
    for (std::size_t index = 0; index < extras.statements; ++index) {
        addStep(index % 2 == 0 ? SoakAction::LimitTarget : SoakAction::LeaveTarget, below(vmCount));
    }
    for (std::size_t index = 0; index < extras.silences; ++index) {
        addStep(SoakAction::SilencePlatformConnections, 0);
    }
    for (std::size_t index = 0; index < extras.crashes; ++index) {
        addStep(SoakAction::SendCrashingRequest, index);
    }
    for (std::size_t index = 0; index < extras.announcements; ++index) {
        addStep(index % 2 == 0 ? SoakAction::SendForeignAnnouncements : SoakAction::DelayAnnouncementOverRestart, below(vmCount));
    }
    std::stable_sort(plan.begin(), plan.end(), [](const SoakStep &left, const SoakStep &right) { return left.at < right.at; });
    return plan;
}

std::string toText(const SoakStep &step)
{
    return std::to_string(step.at.count()) + " ms: " + nameOf(step.action) + ", VM " + std::to_string(step.vmIndex) + ", for "
           + std::to_string(step.length.count()) + " ms";
}
