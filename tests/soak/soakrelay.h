#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/** Carries connections on loopback to one endpoint that may change, and harms them when told to. Threads of its own. */
class SoakRelay
{
public:
    /** to: "ADDRESS:PORT". */
    explicit SoakRelay(std::string to);
    ~SoakRelay();
    SoakRelay(const SoakRelay &) = delete;
    SoakRelay &operator=(const SoakRelay &) = delete;

    std::string endpoint() const;
    void setTarget(const std::string &to);
    /** Each chunk waits this long. */
    void setDelay(std::chrono::milliseconds delay) { m_delayMs = delay.count(); }
    /** Bytes are held up in both directions, and new connections wait. */
    void setSilent(bool silent) { m_silent = silent; }
    /** Resets all present connections. */
    void resetAll();

private:
    void acceptLoop();
    void carry(int caller);
    bool pass(int from, int to);
    void addSocket(int socket);
    void removeSocket(int socket);

    std::mutex m_mutex;
    std::string m_to;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::atomic<std::int64_t> m_delayMs{0};
    std::atomic<bool> m_silent{false};
    std::atomic<bool> m_ending{false};
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::thread m_acceptor;
};
