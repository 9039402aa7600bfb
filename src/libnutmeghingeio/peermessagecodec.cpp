#include "peermessagecodec.h"

#include <algorithm>
#include <array>
#include <kj/exception.h>
#include <optional>
#include <spdlog/spdlog.h>
#include <utility>

namespace nutmeghinge {

namespace {

using Codec = PeerMessageCodec;

kj::StringPtr pointerTo(const std::string &text)
{
    return {text.c_str(), text.size()};
}

kj::ArrayPtr<const kj::byte> bytesOf(const std::string &text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

std::string stringOf(kj::ArrayPtr<const char> text)
{
    return {text.begin(), text.size()};
}

std::string stringOf(kj::ArrayPtr<const kj::byte> bytes)
{
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

std::int64_t microsecondsOf(MonotonicTime time)
{
    return time.time_since_epoch().count();
}

void writeFence(wire::Fence::Builder to, const Fence &fence)
{
    to.setTerm(fence.term.value());
    to.setSequence(fence.sequence);
}

void writeDocument(wire::DocumentCopy::Builder to, const DocumentCopy &document)
{
    to.setRevision(document.revision.value());
    to.setText(pointerTo(document.text));
}

void writeShard(wire::ShardOwnership::Builder to, const ShardOwnership &shard)
{
    to.setState(static_cast<std::uint8_t>(shard.state));
    to.setOwner(shard.owner.value());
    to.setNext(shard.next.value());
    to.setFenceTerm(shard.fence.term.value());
    to.setFenceSequence(shard.fence.sequence);
}

void writeMap(wire::OwnershipMap::Builder to, const OwnershipMap &map)
{
    writeFence(to.initVersion(), map.version);
    // Run-length encoded, since adjacent shards mostly have the same owner.
    std::vector<std::pair<const ShardOwnership *, std::uint32_t>> runs;
    for (const ShardOwnership &shard : map.shards) {
        if (runs.empty() || *runs.back().first != shard) {
            runs.emplace_back(&shard, 0);
        }
        ++runs.back().second;
    }
    auto shards = to.initShards(runs.size());
    auto runLengths = to.initRunLengths(runs.size());
    for (std::size_t i = 0; i < runs.size(); ++i) {
        writeShard(shards[i], *runs[i].first);
        runLengths.set(i, runs[i].second);
    }
    auto sections = to.initSections(map.sections.size());
    for (std::size_t i = 0; i < map.sections.size(); ++i) {
        sections[i].setService(pointerTo(map.sections[i].service.value()));
        sections[i].setFirst(map.sections[i].first);
        sections[i].setCount(map.sections[i].count);
    }
    auto hotKeys = to.initHotKeys(map.hotKeys.size());
    for (std::size_t i = 0; i < map.hotKeys.size(); ++i) {
        hotKeys.set(i, map.hotKeys[i]);
    }
}

void writeChanges(wire::OwnershipMapChanges::Builder to, const OwnershipMapChanges &changes)
{
    writeFence(to.initBase(), changes.base);
    writeFence(to.initVersion(), changes.version);
    auto firsts = to.initFirsts(changes.runs.size());
    auto counts = to.initCounts(changes.runs.size());
    auto shards = to.initShards(changes.runs.size());
    for (std::size_t i = 0; i < changes.runs.size(); ++i) {
        firsts.set(i, changes.runs[i].first.value());
        counts.set(i, changes.runs[i].count);
        writeShard(shards[i], changes.runs[i].ownership);
    }
}

void writeLoad(wire::MemberLoad::Builder to, const MemberLoad &load)
{
    to.setSlot(load.slot.value());
    to.setInFlight(load.inFlight);
    to.setQueued(load.queued);
    to.setSlots(load.slots);
    to.setHealthy(load.healthy);
    to.setServiceTime(load.serviceTime.count());
    to.setLinkWait(load.linkWait.count());
    auto shards = to.initShards(load.shards.size());
    for (std::size_t i = 0; i < load.shards.size(); ++i) {
        shards[i].setShard(load.shards[i].shard.value());
        shards[i].setMilliRequestsPerSecond(load.shards[i].milliRequestsPerSecond);
    }
    auto heavyKeys = to.initHeavyKeys(load.heavyKeys.size());
    for (std::size_t i = 0; i < load.heavyKeys.size(); ++i) {
        heavyKeys[i].setKeyHash(load.heavyKeys[i].keyHash);
        heavyKeys[i].setMilliRequestsPerSecond(load.heavyKeys[i].milliRequestsPerSecond);
    }
}

void writeAnswer(wire::StoredAnswer::Builder to, const StoredAnswer &answer)
{
    to.setStatus(answer.status);
    auto headers = to.initHeaders(answer.headers.size());
    for (std::size_t i = 0; i < answer.headers.size(); ++i) {
        headers[i].setName(pointerTo(answer.headers[i].first));
        headers[i].setValue(pointerTo(answer.headers[i].second));
    }
    to.setBody(bytesOf(answer.body));
}

void writeSuspect(wire::CrashSuspect::Builder to, const CrashSuspect &suspect)
{
    const auto &content = suspect.content.value();
    to.setContent(kj::ArrayPtr<const kj::byte>(content.data(), content.size()));
    to.setAnsweredAt(suspect.answeredAt.time_since_epoch().count());
    auto crashes = to.initCrashes(suspect.crashes.size());
    for (std::size_t i = 0; i < suspect.crashes.size(); ++i) {
        crashes[i].setTarget(suspect.crashes[i].target.value());
        crashes[i].setCaller(suspect.crashes[i].caller.value());
        crashes[i].setAt(suspect.crashes[i].at.time_since_epoch().count());
        crashes[i].setClearedAt(suspect.crashes[i].clearedAt.time_since_epoch().count());
    }
}

void writeEntry(wire::DeduplicationEntry::Builder to, const DeduplicationEntry &entry)
{
    to.setShard(entry.shard.value());
    to.setKey(bytesOf(entry.key));
    if (entry.answer) {
        writeAnswer(to.initAnswer(), *entry.answer);
    }
    to.setAge(entry.age.count());
    to.setFingerprint(entry.fingerprint);
}

/** Writes a message of any kind into the matching member of the wire union. Used with std::visit(). */
class MessageWriter
{
public:
    explicit MessageWriter(wire::PeerMessage::Builder to)
        : m_to(to)
    {
    }

    void operator()(const VoteRequest &message)
    {
        auto to = m_to.initPromiseRequest();
        to.setTerm(message.term.value());
        to.setRevision(message.revision.value());
        to.setSentAt(microsecondsOf(message.sentAt));
        writeFence(to.initMapVersion(), message.mapVersion);
    }

    void operator()(const VoteAnswer &message)
    {
        auto to = m_to.initPromiseAnswer();
        to.setTerm(message.term.value());
        to.setGranted(message.granted);
        to.setRevision(message.revision.value());
        to.setSentAt(microsecondsOf(message.sentAt));
        to.setHighestTerm(message.highestTerm.value());
        if (message.map) {
            writeMap(to.initMap(), *message.map);
        }
        to.setHasNoNewerMap(message.hasNoNewerMap);
        to.setDocument(message.document.value());
    }

    void operator()(const Heartbeat &message)
    {
        auto to = m_to.initHeartbeat();
        to.setTerm(message.term.value());
        to.setRevision(message.revision.value());
        to.setSentAt(microsecondsOf(message.sentAt));
        writeFence(to.initMapVersion(), message.mapVersion);
        to.setDocument(message.document.value());
        auto held = to.initHeld(message.held.size());
        for (std::size_t i = 0; i < message.held.size(); ++i) {
            held.set(i, message.held[i].value());
        }
        auto released = to.initReleased(message.released.size());
        for (std::size_t i = 0; i < message.released.size(); ++i) {
            released[i].setShard(message.released[i].first.value());
            released[i].setFenceTerm(message.released[i].second.term.value());
            released[i].setFenceSequence(message.released[i].second.sequence);
        }
        to.setLeaving(message.leaving);
        to.setTargetIncarnation(message.targetIncarnation);
        to.setSuspects(message.suspects);
        writeLoad(to.initLoad(), message.load);
        if (message.newerDocument) {
            writeDocument(to.initNewerDocument(), *message.newerDocument);
        }
    }

    void operator()(const HeartbeatAnswer &message)
    {
        auto to = m_to.initHeartbeatAnswer();
        to.setTerm(message.term.value());
        to.setRevision(message.revision.value());
        to.setSentAt(microsecondsOf(message.sentAt));
        to.setLease(message.lease.count());
        to.setHoldLeft(message.holdLeft.count());
        to.setDocumentAge(message.documentAge ? message.documentAge->count() : -1);
        if (message.map) {
            writeMap(to.initMap(), *message.map);
        }
        if (message.mapChanges) {
            writeChanges(to.initMapChanges(), *message.mapChanges);
        }
        to.setDocument(message.document.value());
        if (message.newerDocument) {
            writeDocument(to.initNewerDocument(), *message.newerDocument);
        }
        auto loads = to.initLoads(message.loads.size());
        for (std::size_t i = 0; i < message.loads.size(); ++i) {
            writeLoad(loads[i], message.loads[i]);
        }
    }

    void operator()(const HandoverOffer &message)
    {
        auto to = m_to.initHandoverOffer();
        to.setShard(message.shard.value());
        writeFence(to.initFence(), message.fence);
        auto entries = to.initEntries(message.entries.size());
        for (std::size_t i = 0; i < message.entries.size(); ++i) {
            writeEntry(entries[i], message.entries[i]);
        }
        to.setToken(pointerTo(message.token));
    }

    void operator()(const HandoverAccepted &message)
    {
        auto to = m_to.initHandoverAccepted();
        to.setShard(message.shard.value());
        writeFence(to.initFence(), message.fence);
    }

    void operator()(const JoinRequest &message)
    {
        auto to = m_to.initJoinRequest();
        to.setNode(pointerTo(message.node.value()));
        to.setIncarnation(message.incarnation.value());
    }

    void operator()(const CrashReport &message)
    {
        auto to = m_to.initCrashReport();
        to.setIsComplete(message.completeFingerprint.has_value());
        to.setFingerprint(message.completeFingerprint.value_or(0));
        auto suspects = to.initSuspects(message.suspects.size());
        for (std::size_t i = 0; i < message.suspects.size(); ++i) {
            writeSuspect(suspects[i], message.suspects[i]);
        }
    }

    void operator()(const StopNotice &message) { m_to.initStopNotice().setRequestsEndIn(message.requestsEndIn.count()); }

private:
    wire::PeerMessage::Builder m_to;
};

/** Reads a message and keeps the first error. The result is only valid if there was none. */
class MessageReader
{
public:
    const std::optional<std::string> &error() const { return m_error; }

    PeerMessageArrived readParams(wire::PeerControl::DeliverParams::Reader from)
    {
        PeerMessageArrived arrived;
        arrived.from = slot(from.getFrom());
        check(from.getService().size() <= Codec::maxServiceNameBytes, "service name");
        arrived.service = ServiceName(stringOf(from.getService()));
        check(!arrived.service.value().empty(), "service name");
        arrived.message = message(from.getMessage());
        check(arrived.from != noMember || std::holds_alternative<JoinRequest>(arrived.message), "sender");
        check(from.getWallMs() >= 0 && static_cast<std::uint64_t>(from.getWallMs()) <= Codec::maxCounter, "wall time");
        arrived.time = HybridTime{WallTime(std::chrono::milliseconds(from.getWallMs())), from.getCounter()};
        return arrived;
    }

private:
    void check(bool valid, const char *field)
    {
        if (!valid && !m_error) {
            m_error = std::string(field) + " out of range";
        }
    }

    /** Returns the size, or records an error and returns 0 if it is over the limit. */
    std::uint32_t listSize(std::size_t size, std::size_t limit, const char *field)
    {
        check(size <= limit, field);
        return m_error ? 0 : static_cast<std::uint32_t>(size);
    }

    std::uint64_t counter(std::uint64_t value, const char *field)
    {
        check(value <= Codec::maxCounter, field);
        return value;
    }

    MemberSlot slot(std::uint32_t value)
    {
        check(value <= Codec::maxSlot, "member slot");
        return MemberSlot(value);
    }

    ShardIndex shard(std::uint32_t value)
    {
        check(value < Codec::maxShards, "shard");
        return ShardIndex(value);
    }

    MonotonicTime time(std::int64_t microseconds)
    {
        check(microseconds >= 0 && static_cast<std::uint64_t>(microseconds) <= Codec::maxCounter, "time");
        return MonotonicTime(Duration(microseconds));
    }

    Duration duration(std::int64_t microseconds, Duration limit, const char *field)
    {
        check(microseconds >= 0 && microseconds <= limit.count(), field);
        return Duration(microseconds);
    }

    std::uint32_t requests(std::uint32_t value)
    {
        check(value <= Codec::maxRequests, "number of requests");
        return value;
    }

    std::uint64_t rate(std::uint64_t milliRequestsPerSecond)
    {
        check(milliRequestsPerSecond <= Codec::maxMilliRequestsPerSecond, "rate");
        return milliRequestsPerSecond;
    }

    Fence fence(std::uint64_t term, std::uint64_t sequence) { return {Term(counter(term, "fence term")), counter(sequence, "fence sequence")}; }

    Fence fence(wire::Fence::Reader from) { return fence(from.getTerm(), from.getSequence()); }

    Term term(std::uint64_t value) { return Term(counter(value, "term")); }

    CellRevision cellRevision(std::uint64_t value) { return CellRevision(counter(value, "cell revision")); }

    DocumentRevision documentRevision(std::uint64_t value) { return DocumentRevision(counter(value, "document revision")); }

    DocumentCopy document(wire::DocumentCopy::Reader from)
    {
        check(from.getText().size() <= Codec::maxDocumentBytes, "document size");
        return {documentRevision(from.getRevision()), m_error ? std::string() : stringOf(from.getText())};
    }

    ShardOwnership ownership(wire::ShardOwnership::Reader from)
    {
        check(from.getState() <= static_cast<std::uint8_t>(ShardOwnership::State::Releasing), "shard state");
        return {static_cast<ShardOwnership::State>(from.getState()),
                slot(from.getOwner()),
                slot(from.getNext()),
                fence(from.getFenceTerm(), from.getFenceSequence())};
    }

    OwnershipMap map(wire::OwnershipMap::Reader from)
    {
        OwnershipMap map;
        map.version = fence(from.getVersion());
        const auto shards = from.getShards();
        const auto runLengths = from.getRunLengths();
        const std::uint32_t runs = listSize(shards.size(), Codec::maxShards, "number of shards");
        check(runLengths.size() == runs, "number of runs");
        for (std::uint32_t i = 0; i < runs && !m_error; ++i) {
            const ShardOwnership shard = ownership(shards[i]);
            const std::uint32_t length = listSize(runLengths[i], Codec::maxShards - map.shards.size(), "number of shards");
            map.shards.insert(map.shards.end(), length, shard);
        }
        const auto sections = from.getSections();
        const std::uint32_t sectionCount = listSize(sections.size(), Codec::maxSections, "number of sections");
        for (std::uint32_t i = 0; i < sectionCount; ++i) {
            const std::uint64_t end = std::uint64_t(sections[i].getFirst()) + sections[i].getCount();
            check(end <= map.shards.size(), "section");
            map.sections.push_back({ServiceName(stringOf(sections[i].getService())), sections[i].getFirst(), sections[i].getCount()});
        }
        const auto hotKeys = from.getHotKeys();
        const std::uint32_t hotKeyCount = listSize(hotKeys.size(), Codec::maxHotKeys, "number of hot keys");
        for (std::uint32_t i = 0; i < hotKeyCount; ++i) {
            map.hotKeys.push_back(hotKeys[i]);
        }
        return map;
    }

    OwnershipMapChanges changes(wire::OwnershipMapChanges::Reader from)
    {
        OwnershipMapChanges changes{fence(from.getBase()), fence(from.getVersion()), {}};
        const std::uint32_t runs = listSize(from.getShards().size(), Codec::maxShards, "number of changed shards");
        check(from.getFirsts().size() == runs && from.getCounts().size() == runs, "number of runs");
        for (std::uint32_t i = 0; i < runs && !m_error; ++i) {
            const ShardIndex first = shard(from.getFirsts()[i]);
            check(from.getCounts()[i] <= Codec::maxShards - first.value(), "number of shards");
            changes.runs.push_back({first, from.getCounts()[i], ownership(from.getShards()[i])});
        }
        return changes;
    }

    MemberLoad load(wire::MemberLoad::Reader from)
    {
        MemberLoad load;
        load.slot = slot(from.getSlot());
        load.inFlight = requests(from.getInFlight());
        load.queued = requests(from.getQueued());
        load.slots = requests(from.getSlots());
        load.healthy = from.getHealthy();
        load.serviceTime = duration(from.getServiceTime(), Codec::maxLease, "service time");
        load.linkWait = duration(from.getLinkWait(), Codec::maxLease, "time of the link");
        const auto shards = from.getShards();
        const std::uint32_t shardCount = listSize(shards.size(), Codec::maxShards, "number of shard loads");
        for (std::uint32_t i = 0; i < shardCount; ++i) {
            load.shards.push_back({shard(shards[i].getShard()), rate(shards[i].getMilliRequestsPerSecond())});
        }
        const auto keys = from.getHeavyKeys();
        const std::uint32_t keyCount = listSize(keys.size(), Codec::maxHotKeys, "number of heavy keys");
        for (std::uint32_t i = 0; i < keyCount; ++i) {
            load.heavyKeys.push_back({keys[i].getKeyHash(), rate(keys[i].getMilliRequestsPerSecond())});
        }
        return load;
    }

    StoredAnswer answer(wire::StoredAnswer::Reader from)
    {
        StoredAnswer answer;
        check(from.getStatus() >= 100 && from.getStatus() <= 999, "answer status");
        answer.status = from.getStatus();
        const auto headers = from.getHeaders();
        const std::uint32_t count = listSize(headers.size(), Codec::maxHeaders, "number of headers");
        for (std::uint32_t i = 0; i < count; ++i) {
            answer.headers.emplace_back(stringOf(headers[i].getName()), stringOf(headers[i].getValue()));
        }
        answer.body = stringOf(from.getBody());
        return answer;
    }

    DeduplicationEntry entry(wire::DeduplicationEntry::Reader from)
    {
        DeduplicationEntry entry;
        entry.shard = shard(from.getShard());
        entry.key = stringOf(from.getKey());
        if (from.hasAnswer()) {
            entry.answer = answer(from.getAnswer());
        }
        entry.age = duration(from.getAge(), Codec::maxAge, "age");
        entry.fingerprint = from.getFingerprint();
        return entry;
    }

    VoteRequest voteRequest(wire::PromiseRequest::Reader from)
    {
        return {term(from.getTerm()), cellRevision(from.getRevision()), time(from.getSentAt()), fence(from.getMapVersion())};
    }

    VoteAnswer voteAnswer(wire::PromiseAnswer::Reader from)
    {
        VoteAnswer message;
        message.term = term(from.getTerm());
        message.granted = from.getGranted();
        message.revision = cellRevision(from.getRevision());
        message.sentAt = time(from.getSentAt());
        message.highestTerm = term(from.getHighestTerm());
        if (from.hasMap()) {
            message.map = map(from.getMap());
        }
        message.hasNoNewerMap = from.getHasNoNewerMap();
        message.document = documentRevision(from.getDocument());
        return message;
    }

    Heartbeat heartbeat(wire::Heartbeat::Reader from)
    {
        Heartbeat message;
        message.term = term(from.getTerm());
        message.revision = cellRevision(from.getRevision());
        message.sentAt = time(from.getSentAt());
        message.mapVersion = fence(from.getMapVersion());
        message.document = documentRevision(from.getDocument());
        const auto held = from.getHeld();
        const std::uint32_t heldCount = listSize(held.size(), Codec::maxShards, "number of held shards");
        for (std::uint32_t i = 0; i < heldCount; ++i) {
            message.held.push_back(shard(held[i]));
        }
        const auto released = from.getReleased();
        const std::uint32_t releasedCount = listSize(released.size(), Codec::maxShards, "number of released shards");
        for (std::uint32_t i = 0; i < releasedCount; ++i) {
            message.released.emplace_back(shard(released[i].getShard()), fence(released[i].getFenceTerm(), released[i].getFenceSequence()));
        }
        message.leaving = from.getLeaving();
        message.targetIncarnation = counter(from.getTargetIncarnation(), "target incarnation");
        message.suspects = from.getSuspects();
        message.load = load(from.getLoad());
        if (from.hasNewerDocument()) {
            message.newerDocument = document(from.getNewerDocument());
        }
        return message;
    }

    HeartbeatAnswer heartbeatAnswer(wire::HeartbeatAnswer::Reader from)
    {
        HeartbeatAnswer message;
        message.term = term(from.getTerm());
        message.revision = cellRevision(from.getRevision());
        message.sentAt = time(from.getSentAt());
        message.lease = duration(from.getLease(), Codec::maxLease, "lease");
        message.holdLeft = duration(from.getHoldLeft(), Codec::maxHoldLeft, "remaining hold limit");
        if (from.getDocumentAge() >= 0) {
            message.documentAge = duration(from.getDocumentAge(), Codec::maxDocumentAge, "age of the document");
        }
        if (from.hasMap()) {
            message.map = map(from.getMap());
        }
        if (from.hasMapChanges()) {
            message.mapChanges = changes(from.getMapChanges());
        }
        message.document = documentRevision(from.getDocument());
        if (from.hasNewerDocument()) {
            message.newerDocument = document(from.getNewerDocument());
        }
        readLoads(from.getLoads(), message.loads);
        return message;
    }

    /** Reads the loads that are valid. Loads are hints, so an invalid one must not discard the lease and the map beside it. */
    void readLoads(capnp::List<wire::MemberLoad>::Reader from, std::vector<MemberLoad> &loads)
    {
        const std::uint32_t count = std::min<std::uint32_t>(from.size(), Codec::maxMembers);
        std::uint32_t ignored = from.size() - count;
        std::string reason = "more loads than a cell has members";
        for (std::uint32_t i = 0; i < count; ++i) {
            const std::optional<std::string> errorBefore = std::exchange(m_error, std::nullopt);
            MemberLoad read = load(from[i]);
            const std::optional<std::string> error = std::exchange(m_error, errorBefore);
            if (error) {
                reason = *error;
                ++ignored;
                continue;
            }
            loads.push_back(std::move(read));
        }
        if (ignored > 0) {
            spdlog::warn("ignored {} of {} member loads in a heartbeat answer: {}", ignored, from.size(), reason);
        }
    }

    HandoverOffer handoverOffer(wire::HandoverOffer::Reader from)
    {
        HandoverOffer message;
        message.shard = shard(from.getShard());
        message.fence = fence(from.getFence());
        const auto entries = from.getEntries();
        const std::uint32_t count = listSize(entries.size(), Codec::maxEntries, "number of entries");
        for (std::uint32_t i = 0; i < count; ++i) {
            message.entries.push_back(entry(entries[i]));
        }
        check(from.getToken().size() <= Codec::maxTokenBytes, "handover token");
        message.token = stringOf(from.getToken());
        return message;
    }

    HandoverAccepted handoverAccepted(wire::HandoverAccepted::Reader from) { return {shard(from.getShard()), fence(from.getFence())}; }

    JoinRequest joinRequest(wire::JoinRequest::Reader from)
    {
        check(from.getNode().size() > 0 && from.getNode().size() <= Codec::maxNodeNameBytes, "node name");
        return {NodeName(stringOf(from.getNode())), Incarnation(from.getIncarnation())};
    }

    WallTime wallTime(std::int64_t milliseconds)
    {
        check(milliseconds >= 0 && static_cast<std::uint64_t>(milliseconds) <= Codec::maxCounter, "wall time");
        return WallTime(std::chrono::milliseconds(milliseconds));
    }

    CrashSuspect suspect(wire::CrashSuspect::Reader from)
    {
        CrashSuspect suspect;
        std::array<std::uint8_t, 16> content{};
        check(from.getContent().size() == content.size(), "digest of a suspect");
        std::copy_n(from.getContent().begin(), std::min<std::size_t>(content.size(), from.getContent().size()), content.begin());
        suspect.content = RequestDigest(content);
        suspect.answeredAt = wallTime(from.getAnsweredAt());
        const auto crashes = from.getCrashes();
        const std::uint32_t count = listSize(crashes.size(), Codec::maxCrashes, "number of crashes");
        for (std::uint32_t i = 0; i < count; ++i) {
            suspect.crashes.push_back(
                {TargetRun(crashes[i].getTarget()), CallerDigest(crashes[i].getCaller()), wallTime(crashes[i].getAt()), wallTime(crashes[i].getClearedAt())});
        }
        return suspect;
    }

    CrashReport crashReport(wire::CrashReport::Reader from)
    {
        CrashReport message;
        const auto suspects = from.getSuspects();
        const std::uint32_t count = listSize(suspects.size(), Codec::maxSuspects, "number of suspects");
        for (std::uint32_t i = 0; i < count; ++i) {
            message.suspects.push_back(suspect(suspects[i]));
        }
        if (from.getIsComplete()) {
            message.completeFingerprint = from.getFingerprint();
        }
        return message;
    }

    StopNotice stopNotice(wire::StopNotice::Reader from) { return {duration(from.getRequestsEndIn(), Codec::maxStop, "time until requests end")}; }

    PeerMessage message(wire::PeerMessage::Reader from)
    {
        switch (from.which()) {
        case wire::PeerMessage::PROMISE_REQUEST:
            return voteRequest(from.getPromiseRequest());
        case wire::PeerMessage::PROMISE_ANSWER:
            return voteAnswer(from.getPromiseAnswer());
        case wire::PeerMessage::HEARTBEAT:
            return heartbeat(from.getHeartbeat());
        case wire::PeerMessage::HEARTBEAT_ANSWER:
            return heartbeatAnswer(from.getHeartbeatAnswer());
        case wire::PeerMessage::HANDOVER_OFFER:
            return handoverOffer(from.getHandoverOffer());
        case wire::PeerMessage::HANDOVER_ACCEPTED:
            return handoverAccepted(from.getHandoverAccepted());
        case wire::PeerMessage::JOIN_REQUEST:
            return joinRequest(from.getJoinRequest());
        case wire::PeerMessage::CRASH_REPORT:
            return crashReport(from.getCrashReport());
        case wire::PeerMessage::STOP_NOTICE:
            return stopNotice(from.getStopNotice());
        }
        check(false, "kind of message");
        return {};
    }

    std::optional<std::string> m_error;
};

} // namespace

void PeerMessageCodec::write(wire::PeerControl::DeliverParams::Builder to, const SendPeerMessage &effect)
{
    to.setFrom(effect.from.value());
    to.setService(pointerTo(effect.service.value()));
    to.setWallMs(effect.time.wall.time_since_epoch().count());
    to.setCounter(effect.time.counter);
    std::visit(MessageWriter(to.initMessage()), effect.message);
}

std::variant<PeerMessageArrived, PeerMessageError> PeerMessageCodec::read(wire::PeerControl::DeliverParams::Reader from)
{
    MessageReader reader;
    PeerMessageArrived arrived;
    const auto exception = kj::runCatchingExceptions([&] { arrived = reader.readParams(from); });
    KJ_IF_MAYBE (unreadable, exception) {
        return PeerMessageError{std::string(unreadable->getDescription().cStr())};
    }
    if (reader.error()) {
        return PeerMessageError{*reader.error()};
    }
    return arrived;
}

} // namespace nutmeghinge
