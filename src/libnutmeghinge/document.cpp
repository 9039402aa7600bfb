#include "document.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

bool matchesPattern(std::string_view pattern, std::string_view text)
{
    if (pattern.empty()) {
        return text.empty();
    }
    if (pattern.front() == '*') {
        return matchesPattern(pattern.substr(1), text) || (!text.empty() && matchesPattern(pattern, text.substr(1)));
    }
    return !text.empty() && pattern.front() == text.front() && matchesPattern(pattern.substr(1), text.substr(1));
}

bool matchesAny(const std::vector<std::string> &patterns, const std::string &text)
{
    return std::any_of(patterns.begin(), patterns.end(), [&](const std::string &pattern) { return matchesPattern(pattern, text); });
}

} // namespace

bool Document::allowsTarget(const TargetName &target) const
{
    return matchesAny(allowedTargets, target.value());
}

bool Document::isLeaving(const TargetName &target, WallTime now) const
{
    if (isStopped(now) || !allowsTarget(target)) {
        return true;
    }
    const std::optional<WallTime> leaveTime = leavesAt(target);
    return leaveTime && now >= *leaveTime;
}

std::optional<WallTime> Document::leavesAt(const TargetName &target) const
{
    std::optional<WallTime> earliest = stop;
    for (const ShrinkStep &step : shrink) {
        if (matchesAny(step.leaving, target.value()) && (!earliest || step.at < *earliest)) {
            earliest = step.at;
        }
    }
    return earliest;
}

} // namespace nutmeghinge
