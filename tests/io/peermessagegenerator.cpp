#include "peermessagegenerator.h"

#include "peermessagecodec.h"

namespace nutmeghinge {

namespace {

using Codec = PeerMessageCodec;

template <typename T>
T upTo(T limit)
{
    // inRange() excludes its end and shrinks towards its start, so the limit is generated separately.
    return *rc::gen::oneOf(rc::gen::inRange<T>(0, limit), rc::gen::just(limit));
}

template <typename T>
std::vector<T> listOf(T (*make)())
{
    std::vector<T> list(*rc::gen::inRange<std::size_t>(0, 6));
    for (T &entry : list) {
        entry = make();
    }
    return list;
}

template <typename T>
std::optional<T> anyOptional(T (*make)())
{
    if (*rc::gen::arbitrary<bool>()) {
        return make();
    }
    return std::nullopt;
}

std::uint64_t counter()
{
    return upTo(Codec::maxCounter);
}

std::string bytes()
{
    return *rc::gen::arbitrary<std::string>();
}

MemberSlot slot()
{
    return MemberSlot(upTo(Codec::maxSlot));
}

ShardIndex shard()
{
    return ShardIndex(upTo(Codec::maxShards - 1));
}

MonotonicTime time()
{
    return MonotonicTime(Duration(static_cast<std::int64_t>(counter())));
}

Fence fence()
{
    return {Term(counter()), counter()};
}

DocumentCopy document()
{
    return {DocumentRevision(counter()), bytes()};
}

ShardOwnership ownership()
{
    return {static_cast<ShardOwnership::State>(upTo(2)), slot(), slot(), fence()};
}

std::uint64_t hash()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

OwnershipMap map()
{
    return {fence(), listOf(ownership), listOf(hash)};
}

ShardRun shardRun()
{
    const ShardIndex first = shard();
    return {first, upTo(Codec::maxShards - first.value()), ownership()};
}

OwnershipMapChanges mapChanges()
{
    return {fence(), fence(), listOf(shardRun)};
}

ShardLoad shardLoad()
{
    return {shard(), upTo(Codec::maxMilliRequestsPerSecond)};
}

KeyLoad keyLoad()
{
    return {hash(), upTo(Codec::maxMilliRequestsPerSecond)};
}

MemberLoad load()
{
    return {slot(),
            upTo(Codec::maxRequests),
            upTo(Codec::maxRequests),
            upTo(Codec::maxRequests),
            *rc::gen::arbitrary<bool>(),
            listOf(shardLoad),
            listOf(keyLoad),
            Duration(upTo<std::int64_t>(Codec::maxLease.count())),
            Duration(upTo<std::int64_t>(Codec::maxLease.count()))};
}

std::pair<std::string, std::string> header()
{
    return {bytes(), bytes()};
}

StoredAnswer answer()
{
    return {*rc::gen::inRange<std::uint16_t>(100, 600), listOf(header), bytes()};
}

DeduplicationEntry entry()
{
    return {shard(), bytes(), anyOptional(answer), Duration(upTo<std::int64_t>(Codec::maxAge.count())), counter()};
}

std::pair<ShardIndex, Fence> released()
{
    return {shard(), fence()};
}

PeerMessage voteRequest()
{
    return VoteRequest{Term(counter()), CellRevision(counter()), time(), fence()};
}

PeerMessage voteAnswer()
{
    return VoteAnswer{Term(counter()),
                      *rc::gen::arbitrary<bool>(),
                      CellRevision(counter()),
                      time(),
                      Term(counter()),
                      anyOptional(map),
                      *rc::gen::arbitrary<bool>(),
                      DocumentRevision(counter())};
}

PeerMessage heartbeat()
{
    return Heartbeat{Term(counter()),
                     CellRevision(counter()),
                     time(),
                     fence(),
                     DocumentRevision(counter()),
                     listOf(shard),
                     listOf(released),
                     *rc::gen::arbitrary<bool>(),
                     counter(),
                     load(),
                     anyOptional(document),
                     counter()};
}

Duration documentAge()
{
    return Duration(upTo<std::int64_t>(Codec::maxDocumentAge.count()));
}

PeerMessage heartbeatAnswer()
{
    return HeartbeatAnswer{Term(counter()),
                           CellRevision(counter()),
                           time(),
                           Duration(upTo<std::int64_t>(Codec::maxLease.count())),
                           anyOptional(map),
                           anyOptional(mapChanges),
                           DocumentRevision(counter()),
                           anyOptional(document),
                           listOf(load),
                           Duration(upTo<std::int64_t>(Codec::maxHoldLeft.count())),
                           anyOptional(documentAge)};
}

PeerMessage handoverOffer()
{
    return HandoverOffer{shard(), fence(), listOf(entry), std::to_string(counter())};
}

PeerMessage handoverAccepted()
{
    return HandoverAccepted{shard(), fence()};
}

PeerMessage joinRequest()
{
    return JoinRequest{NodeName("node-" + std::to_string(counter())), Incarnation(counter())};
}

SuspectedCrash suspectedCrash()
{
    const auto wallTime = [] { return WallTime(std::chrono::milliseconds(counter())); };
    return {TargetRun(counter()), CallerDigest(counter()), wallTime(), wallTime()};
}

CrashSuspect crashSuspect()
{
    return {RequestDigest(*rc::gen::arbitrary<std::array<std::uint8_t, 16>>()), WallTime(std::chrono::milliseconds(counter())), listOf(suspectedCrash)};
}

PeerMessage crashReport()
{
    return CrashReport{listOf(crashSuspect), anyOptional(counter)};
}

PeerMessage stopNotice()
{
    return StopNotice{Duration(upTo<std::int64_t>(Codec::maxStop.count()))};
}

} // namespace

rc::Gen<PeerMessage> anyPeerMessage()
{
    return rc::gen::oneOf(rc::gen::exec(voteRequest),
                          rc::gen::exec(voteAnswer),
                          rc::gen::exec(heartbeat),
                          rc::gen::exec(heartbeatAnswer),
                          rc::gen::exec(handoverOffer),
                          rc::gen::exec(handoverAccepted),
                          rc::gen::exec(joinRequest),
                          rc::gen::exec(crashReport),
                          rc::gen::exec(stopNotice));
}

} // namespace nutmeghinge
