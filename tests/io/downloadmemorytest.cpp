#include "forwardersetup.h"

#include <catch2/catch.hpp>
#include <fstream>

using namespace nutmeghinge;

namespace {

constexpr std::size_t blockBytes = 65536;
constexpr std::size_t warmUpBytes = 256 * blockBytes;
constexpr std::size_t downloadBytes = 16384 * blockBytes;
constexpr std::size_t bytesBetweenPauses = 8000000;
constexpr std::size_t growthLimitKilobytes = 1024;

/** Returns the peak resident memory since the last call of resetPeak(), in kilobytes. */
std::size_t peakKilobytes()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmHWM:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

void resetPeak()
{
    std::ofstream("/proc/self/clear_refs") << "5";
}

/** The target's answer, with a body of the given size. Sends the next block when the previous one has been written. */
class Download
{
public:
    explicit Download(ForwarderSetup &setup)
    {
        setup.onTargetRequest = [this](RawConnection &connection) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(m_size) + "\r\n\r\n");
            m_left = m_size;
            m_connection = &connection;
        };
    }

    void setSize(std::size_t size) { m_size = size; }
    void sendNextBlock()
    {
        if (m_left > 0 && !m_connection->isWriting()) {
            m_connection->send(m_block);
            m_left -= blockBytes;
        }
    }

private:
    std::string m_block = std::string(blockBytes, 'x');
    std::size_t m_size = 0;
    std::size_t m_left = 0;
    RawConnection *m_connection = nullptr;
};

/** A caller that pauses reading the download repeatedly. */
class SlowReader final : public HttpAnswerReceiver
{
public:
    explicit SlowReader(ForwarderSetup &setup)
        : m_setup(setup)
    {
    }

    void start(const std::shared_ptr<HttpAnswerReceiver> &self)
    {
        m_call = m_setup.client.send({.to = m_setup.callerEndpoint, .headers = {}, .body = {}}, self);
    }
    void headReceived(const HttpAnswerHead &) override { }
    bool bodyReceived(std::string_view data) override
    {
        m_bytes += data.size();
        if (m_bytes < m_nextPause) {
            return true;
        }
        m_nextPause += bytesBetweenPauses;
        m_setup.loop.callLater(std::chrono::milliseconds(2), [this] { m_setup.client.resume(m_call); });
        return false;
    }
    void finished(HttpCallResult result) override { m_result = result; }

    std::size_t bytes() const { return m_bytes; }
    std::optional<HttpCallResult> result() const { return m_result; }

private:
    ForwarderSetup &m_setup;
    HttpClient::CallId m_call = 0;
    std::size_t m_bytes = 0;
    std::size_t m_nextPause = bytesBetweenPauses;
    std::optional<HttpCallResult> m_result;
};

void downloadSlowly(ForwarderSetup &setup, Download &download, std::size_t size)
{
    download.setSize(size);
    const auto reader = std::make_shared<SlowReader>(setup);
    reader->start(reader);
    REQUIRE(runUntil(setup.loop, [&] {
        download.sendNextBlock();
        return reader->result().has_value();
    }));
    CHECK(reader->result() == HttpCallResult::Complete);
    CHECK(reader->bytes() == size);
}

} // namespace

TEST_CASE("A download of 1 GB by a slow reader raises the peak memory by no more than 1 MB")
{
    ForwarderSetup setup;
    setup.sendToTarget();
    Download download(setup);
    downloadSlowly(setup, download, warmUpBytes);
    resetPeak();
    const std::size_t before = peakKilobytes();
    downloadSlowly(setup, download, downloadBytes);
    const std::size_t after = peakKilobytes();
    INFO("peak before " << before << " kB, after " << after << " kB");
    REQUIRE(before > 0);
    CHECK(after - before <= growthLimitKilobytes);
    CHECK(setup.all<AttemptFinished>().size() == 2);
}
