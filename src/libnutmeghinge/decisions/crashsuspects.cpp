#include "crashsuspects.h"

#include "shardof.h"
#include "targetstatement.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <tuple>

namespace nutmeghinge {

namespace {

/** Times after the last crash for which a request is refused, by the number of crashes; the last one counts for all further crashes. */
constexpr std::array<Duration, 7> refusalTimes{std::chrono::seconds(0),
                                               std::chrono::seconds(0),
                                               std::chrono::seconds(10),
                                               std::chrono::minutes(10),
                                               std::chrono::hours(1),
                                               std::chrono::hours(6),
                                               std::chrono::hours(24)};
/** Time after its last crash or answer for which an entry is kept, by its highest number of crashes. */
constexpr std::array<Duration, 4> lifetimes{std::chrono::minutes(1), std::chrono::minutes(10), std::chrono::hours(1), std::chrono::hours(24)};
constexpr std::uint32_t lastingCrashes = 2;
constexpr std::size_t maximumLasting = 256;
constexpr std::chrono::milliseconds expiryInterval{1000};

bool isCleared(const SuspectedCrash &crash)
{
    return crash.clearedAt != WallTime();
}

/** Returns how many callers, or targets if these are fewer, had a crash that no answer to any caller has followed. */
std::uint32_t crashesOfAnyCaller(const CrashSuspect &suspect)
{
    std::set<CallerDigest> callers;
    std::set<TargetRun> targets;
    for (const SuspectedCrash &crash : suspect.crashes) {
        if (!isCleared(crash) && crash.at > suspect.answeredAt) {
            callers.insert(crash.caller);
            targets.insert(crash.target);
        }
    }
    return static_cast<std::uint32_t>(std::min(callers.size(), targets.size()));
}

std::uint32_t crashesOf(const CrashSuspect &suspect, CallerDigest caller)
{
    const auto counts = [&](const SuspectedCrash &crash) { return crash.caller == caller && !isCleared(crash); };
    const auto own = static_cast<std::uint32_t>(std::count_if(suspect.crashes.begin(), suspect.crashes.end(), counts));
    const std::uint32_t ofAny = crashesOfAnyCaller(suspect);
    return std::max(own, ofAny > 0 ? ofAny - 1 : 0);
}

std::uint32_t mostCrashes(const CrashSuspect &suspect)
{
    std::uint32_t most = 0;
    for (const SuspectedCrash &crash : suspect.crashes) {
        most = std::max(most, crashesOf(suspect, crash.caller));
    }
    return most;
}

WallTime lastChange(const CrashSuspect &suspect)
{
    WallTime last = suspect.answeredAt;
    for (const SuspectedCrash &crash : suspect.crashes) {
        last = std::max({last, crash.at, crash.clearedAt});
    }
    return last;
}

bool isOver(const CrashSuspect &suspect, WallTime now)
{
    const std::size_t level = std::min<std::size_t>(mostCrashes(suspect), lifetimes.size() - 1);
    return now > lastChange(suspect) + std::chrono::duration_cast<std::chrono::milliseconds>(lifetimes[level]);
}

/** Returns whether a is to be forgotten before b: it has fewer crashes, or as many and older ones. */
bool isWeaker(const CrashSuspect &a, const CrashSuspect &b)
{
    return std::tuple(mostCrashes(a), lastChange(a)) < std::tuple(mostCrashes(b), lastChange(b));
}

bool isEarlier(const SuspectedCrash &a, const SuspectedCrash &b)
{
    return std::tie(a.at, a.target, a.caller) < std::tie(b.at, b.target, b.caller);
}

/** Adds the crash, or what it says in addition to the known one of the same target and caller. */
void addCrash(CrashSuspect &suspect, const SuspectedCrash &crash)
{
    const auto isSame = [&](const SuspectedCrash &other) { return other.target == crash.target && other.caller == crash.caller; };
    const auto known = std::find_if(suspect.crashes.begin(), suspect.crashes.end(), isSame);
    if (known == suspect.crashes.end()) {
        suspect.crashes.push_back(crash);
    } else {
        known->at = std::min(known->at, crash.at);
        known->clearedAt = std::max(known->clearedAt, crash.clearedAt);
    }
    std::sort(suspect.crashes.begin(), suspect.crashes.end(), isEarlier);
    if (suspect.crashes.size() > CrashSuspects::maximumCrashes) {
        const auto cleared = std::find_if(suspect.crashes.begin(), suspect.crashes.end(), isCleared);
        suspect.crashes.erase(cleared == suspect.crashes.end() ? suspect.crashes.begin() : cleared);
    }
}

template <typename Value>
void appendBytes(std::string &bytes, const Value &value)
{
    std::array<char, sizeof(Value)> raw{};
    std::memcpy(raw.data(), &value, sizeof(Value));
    bytes.append(raw.data(), raw.size());
}

std::uint64_t hashOf(const CrashSuspect &suspect)
{
    std::string bytes;
    appendBytes(bytes, suspect.content.value());
    appendBytes(bytes, suspect.answeredAt.time_since_epoch().count());
    for (const SuspectedCrash &crash : suspect.crashes) {
        appendBytes(bytes, crash.target.value());
        appendBytes(bytes, crash.caller.value());
        appendBytes(bytes, crash.at.time_since_epoch().count());
        appendBytes(bytes, crash.clearedAt.time_since_epoch().count());
    }
    return hashOfKey(bytes);
}

} // namespace

TargetRun targetRunOf(const TargetInstance &target)
{
    return TargetRun(hashOfKey(target.name.value() + '/' + std::to_string(target.incarnation)));
}

CrashSuspects::Judgement CrashSuspects::judge(const RequestIdentity &identity, WallTime now) const
{
    const auto found = m_suspects.find(identity.content);
    if (found == m_suspects.end()) {
        return {};
    }
    Judgement judgement;
    judgement.crashes = crashesOf(found->second, identity.caller);
    WallTime last;
    for (const SuspectedCrash &crash : found->second.crashes) {
        last = isCleared(crash) ? last : std::max(last, crash.at);
    }
    const Duration time = refusalTimes[std::min<std::size_t>(judgement.crashes, refusalTimes.size() - 1)];
    judgement.refusedFor = std::max(Duration(0), time - std::chrono::duration_cast<Duration>(now - last));
    judgement.refusedFor = std::min(judgement.refusedFor, time);
    return judgement;
}

bool CrashSuspects::recordCrash(const RequestIdentity &identity, TargetRun target, WallTime now)
{
    CrashSuspect &suspect = m_suspects[identity.content];
    suspect.content = identity.content;
    const auto isSame = [&](const SuspectedCrash &crash) { return crash.target == target && crash.caller == identity.caller; };
    if (std::any_of(suspect.crashes.begin(), suspect.crashes.end(), isSame)) {
        return false;
    }
    addCrash(suspect, {target, identity.caller, now});
    m_changed.insert(identity.content);
    changed();
    return true;
}

bool CrashSuspects::recordAnswer(const RequestIdentity &identity, WallTime now)
{
    const auto found = m_suspects.find(identity.content);
    if (found == m_suspects.end() || (crashesOf(found->second, identity.caller) == 0 && crashesOfAnyCaller(found->second) == 0)) {
        return false;
    }
    found->second.answeredAt = std::max(found->second.answeredAt, now);
    for (SuspectedCrash &crash : found->second.crashes) {
        if (crash.caller == identity.caller) {
            crash.clearedAt = std::max(crash.clearedAt, now);
        }
    }
    m_changed.insert(identity.content);
    changed();
    return true;
}

void CrashSuspects::merge(const CrashSuspect &other, WallTime now)
{
    if (isOver(other, now)) {
        return;
    }
    CrashSuspect &suspect = m_suspects[other.content];
    suspect.content = other.content;
    suspect.answeredAt = std::max(suspect.answeredAt, other.answeredAt);
    for (const SuspectedCrash &crash : other.crashes) {
        addCrash(suspect, crash);
    }
    changed();
}

std::vector<RequestDigest> CrashSuspects::expire(WallTime now)
{
    std::vector<RequestDigest> refused;
    if (now < m_nextExpiry) {
        return refused;
    }
    m_nextExpiry = now + expiryInterval;
    const auto isExpired = [&](const auto &entry) {
        if (isOver(entry.second, now) && mostCrashes(entry.second) >= lastingCrashes) {
            refused.push_back(entry.first);
        }
        return isOver(entry.second, now);
    };
    if (std::erase_if(m_suspects, isExpired) > 0) {
        changed();
    }
    return refused;
}

void CrashSuspects::changed()
{
    if (m_suspects.size() > maximumEntries) {
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &a, const auto &b) { return isWeaker(a.second, b.second); }));
    }
    m_lasting.clear();
    for (const auto &[content, suspect] : m_suspects) {
        if (mostCrashes(suspect) >= lastingCrashes) {
            m_lasting.push_back(suspect);
        }
    }
    if (m_lasting.size() > maximumLasting) {
        std::nth_element(m_lasting.begin(), m_lasting.begin() + maximumLasting, m_lasting.end(), [](const auto &a, const auto &b) { return isWeaker(b, a); });
        m_lasting.resize(maximumLasting);
        std::sort(m_lasting.begin(), m_lasting.end(), [](const auto &a, const auto &b) { return a.content < b.content; });
    }
}

std::vector<CrashSuspect> CrashSuspects::takeChanges()
{
    std::vector<CrashSuspect> changes;
    for (const RequestDigest &content : std::exchange(m_changed, {})) {
        const auto found = m_suspects.find(content);
        if (found != m_suspects.end()) {
            changes.push_back(found->second);
        }
    }
    return changes;
}

std::vector<CrashSuspect> CrashSuspects::all() const
{
    std::vector<CrashSuspect> entries;
    entries.reserve(m_suspects.size());
    for (const auto &[content, suspect] : m_suspects) {
        entries.push_back(suspect);
    }
    return entries;
}

std::uint64_t CrashSuspects::fingerprint() const
{
    std::uint64_t combined = 0;
    for (const auto &[content, suspect] : m_suspects) {
        combined ^= hashOf(suspect);
    }
    return combined;
}

} // namespace nutmeghinge
