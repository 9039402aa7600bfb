#include "crowdeddesk.h"
#include "http2frames.h"

#include <catch2/catch.hpp>

#include <csignal>

namespace {

constexpr std::uint64_t megabyte = 1000000;
constexpr std::uint64_t largestBody = 67108864;
const std::string chunked = "transfer-encoding: chunked";

std::string lengthOf(std::uint64_t bytes)
{
    return "content-length: " + std::to_string(bytes);
}

/** A body with a length that ends one byte short. */
ClientStream shortBody(std::uint64_t bytes)
{
    return {bodyHead(lengthOf(bytes)), "x", bytes - 1, {}};
}

ClientStream wholeBody(std::uint64_t bytes)
{
    return {bodyHead(lengthOf(bytes)), "x", bytes, {}};
}

/** A chunked body without its last chunk. */
ClientStream chunkedBody(std::size_t chunkBytes, std::uint64_t chunks)
{
    char size[20];
    snprintf(size, sizeof size, "%zx\r\n", chunkBytes);
    return {bodyHead(chunked), size + std::string(chunkBytes, 'x') + "\r\n", chunks, {}};
}

/** A request over HTTP/2 whose body does not end. */
ClientStream http2Body(std::uint64_t frames)
{
    using namespace nutmeghinge;
    constexpr std::size_t frameBytes = 16384;
    const std::string data = http2::encode({http2::FrameType::Data, 0, 1, std::string(frameBytes, 'x')});
    return {http2::preface() + http2::request(1, "POST", true), data, frames, {}};
}

/** A control message of almost 8 MiB with one segment that ends one byte short. */
ClientStream shortControlMessage()
{
    constexpr std::uint32_t words = 1048000;
    std::string head(8, '\0');
    for (std::size_t byte = 0; byte < 4; ++byte) {
        head[4 + byte] = static_cast<char>(words >> (8 * byte));
    }
    return {head, std::string(1, '\0'), words * 8 - 1, {}};
}

/** Requests sent behind one another on a connection. */
ClientStream pipelinedBodies(std::uint64_t bytes, std::uint64_t requests)
{
    return {{}, bodyHead(lengthOf(bytes)) + std::string(bytes, 'x'), requests, {}};
}

} // namespace

TEST_CASE("A node survives callers whose bodies stop one byte short")
{
    checkCrowd({.clients = 8, .stream = shortBody(16 * megabyte)});
}

TEST_CASE("A node survives callers whose chunked bodies do not end")
{
    checkCrowd({.clients = 8, .stream = chunkedBody(65536, 250)});
}

TEST_CASE("A node survives callers whose bodies of very small chunks do not end")
{
    checkCrowd({.clients = 48, .stream = chunkedBody(1, 2 * megabyte)});
}

TEST_CASE("A node survives callers that send whole bodies faster than its target works")
{
    checkCrowd({.clients = 100, .stream = wholeBody(megabyte), .serviceTimeMs = 1000});
}

TEST_CASE("A node survives callers that send many bodies behind one another")
{
    checkCrowd({.clients = 20, .stream = pipelinedBodies(megabyte, 17)});
}

TEST_CASE("A node survives callers that announce bodies over the limit")
{
    checkCrowd({.clients = 50, .stream = {bodyHead(lengthOf(200 * megabyte)), "x", megabyte, {}}});
}

TEST_CASE("A node survives callers that send chunked bodies over the limit")
{
    checkCrowd({.clients = 8, .stream = chunkedBody(65536, 1600)});
}

TEST_CASE("A node survives callers that send chunk extensions without an end")
{
    checkCrowd({.clients = 8, .stream = {bodyHead(chunked) + "1;", "x", 30 * megabyte, {}}});
}

TEST_CASE("A node survives callers that send requests and do not read the answers")
{
    const std::string request = "GET /download?bytes=60000 HTTP/1.1\r\nhost: advice-desk\r\ncustomer-key: teak\r\n\r\n";
    checkCrowd({.clients = 4, .stream = {{}, request, 1000, {}}, .reading = ClientCrowd::Reading::No});
}

TEST_CASE("A node answers callers beside more idle connections than it has descriptors")
{
    checkCrowd({.clients = 300});
}

TEST_CASE("A node answers callers beside more unfinished requests than it has descriptors")
{
    checkCrowd({.clients = 300, .stream = {"GET /advice HTTP/1.1\r\nhost: advice", {}, 0, {}}});
}

TEST_CASE("A node survives peers whose bodies stop one byte short")
{
    checkCrowd({.door = Door::Peers, .clients = 8, .stream = shortBody(16 * megabyte)});
}

TEST_CASE("A node survives peers whose chunked bodies do not end")
{
    checkCrowd({.door = Door::Peers, .clients = 8, .stream = chunkedBody(65536, 250)});
}

TEST_CASE("A node survives peers that send whole bodies faster than its target works")
{
    checkCrowd({.door = Door::Peers, .clients = 100, .stream = wholeBody(megabyte), .serviceTimeMs = 1000});
}

TEST_CASE("A node answers callers beside more idle connections of peers than it has descriptors")
{
    checkCrowd({.door = Door::Peers, .clients = 300});
}

TEST_CASE("A node without pipelining survives callers whose bodies stop one byte short")
{
    checkCrowd({.door = Door::PlainCallers, .clients = 8, .stream = shortBody(16 * megabyte)});
}

TEST_CASE("A node without pipelining survives callers that send whole bodies faster than its target works")
{
    checkCrowd({.door = Door::PlainCallers, .clients = 100, .stream = wholeBody(megabyte), .serviceTimeMs = 1000});
}

TEST_CASE("A node without pipelining answers callers beside more idle connections than it has descriptors")
{
    checkCrowd({.door = Door::PlainCallers, .clients = 300});
}

TEST_CASE("A node answers callers beside more idle connections to its target's listener than it has descriptors")
{
    checkCrowd({.door = Door::Target, .clients = 300});
}

TEST_CASE("A node answers callers beside more idle connections to its operations listener than it has descriptors")
{
    checkCrowd({.door = Door::Operations, .clients = 300});
}

TEST_CASE("A node answers callers beside more idle connections to its control listener than it has descriptors")
{
    checkCrowd({.door = Door::Control, .clients = 300});
}

TEST_CASE("A node survives callers whose bodies over HTTP/2 do not end")
{
    checkCrowd({.door = Door::PlainCallers, .clients = 8, .stream = http2Body(1000)});
}

TEST_CASE("A node survives clients whose control messages stop one byte short")
{
    checkCrowd({.door = Door::Control, .clients = 20, .stream = shortControlMessage()});
}

// Where the system limits the process, Cap'n Proto itself closes a connection whose message finds no memory.
TEST_CASE("A node keeps its memory beside clients whose control messages stop one byte short")
{
    checkCrowd({.door = Door::Control, .clients = 20, .stream = shortControlMessage(), .limit = MemoryLimit::OfSettings});
}

TEST_CASE("A node that other nodes send many bodies stays within its memory")
{
    CrowdedDesk desk(Door::Callers, 2);
    VmProcesses *owner = desk.desk().cluster().ownerOf("teak");
    REQUIRE(owner);
    const std::size_t ownerIndex = owner == &desk.vm(0) ? 0 : 1;
    TestCluster::control(owner->targetEndpoint, {{"serviceTimeMs", 1000}});

    ClientCrowd crowd(desk.endpoint(Door::Callers, 1 - ownerIndex), 100, wholeBody(megabyte), ClientCrowd::Reading::Yes);
    crowd.run();
    for (const std::size_t index : {std::size_t(0), std::size_t(1)}) {
        INFO("node " << index << ", highest memory " << desk.peakMemory(index) << '\n' << desk.vm(index).node->output().substr(0, 4000));
        REQUIRE_FALSE(desk.vm(index).node->hasEnded());
        CHECK(desk.peakMemory(index) <= crowdedMemoryBytes);
        CHECK(desk.ordinaryRequest(index) == 200);
    }
}

TEST_CASE("A node beside callers whose bodies do not end is stopped as planned")
{
    CrowdedDesk desk(Door::Callers);
    ClientCrowd crowd(desk.endpoint(Door::Callers), 8, shortBody(16 * megabyte), ClientCrowd::Reading::Yes);
    crowd.run();
    REQUIRE_FALSE(desk.vm().node->hasEnded());
    desk.vm().node->sendSignal(SIGTERM);
    CHECK(TestCluster::waitUntil([&] { return desk.vm().node->hasEnded(); }));
    CHECK(desk.vm().node->wait() == 0);
}

TEST_CASE("The largest legal body is answered beside callers whose bodies do not end")
{
    constexpr std::uint64_t machineBytes = 260 * megabyte;
    const std::size_t nodes = GENERATE(1U, 2U);
    CrowdedDesk desk(Door::Callers, nodes, machineBytes);
    VmProcesses *owner = desk.desk().cluster().ownerOf("teak");
    REQUIRE(owner);
    const std::size_t entry = nodes == 2 && owner == &desk.vm(0) ? 1 : 0;

    ClientCrowd crowd(desk.endpoint(Door::Callers, entry), 8, shortBody(60 * megabyte), ClientCrowd::Reading::Yes);
    crowd.run();
    std::string body;
    body.resize(largestBody, 'x');
    const BlockingAnswer answer = desk.desk().cluster().request(desk.vm(entry), "teak", {"POST", "/advice", {}, body, 60});
    for (std::size_t index = 0; index < nodes; ++index) {
        INFO("node " << index << ", highest memory " << desk.peakMemory(index) << '\n' << desk.vm(index).node->output().substr(0, 4000));
        REQUIRE_FALSE(desk.vm(index).node->hasEnded());
        CHECK(desk.peakMemory(index) <= machineBytes);
    }
    CHECK(answer.status == 200);
}
