#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/**
 * Relays TCP connections on loopback to one destination, and injects delays,
 * stalls and resets. Runs its own threads; all functions may be called from any thread.
 */
class SoakRelay
{
public:
    /** Relays to the destination, "ADDRESS:PORT". Throws std::runtime_error if it cannot listen. */
    explicit SoakRelay(std::string destination);
    ~SoakRelay();
    SoakRelay(const SoakRelay &) = delete;
    SoakRelay &operator=(const SoakRelay &) = delete;

    /** Address at which the relay listens, "ADDRESS:PORT". */
    std::string endpoint() const;
    /** Changes the destination of new connections. */
    void setDestination(const std::string &destination);
    /** Delays each relayed chunk by this time. */
    void setDelay(std::chrono::milliseconds delay) { m_delayMs = delay.count(); }
    /** While stalled, no bytes are relayed in either direction; connections stay open. */
    void setStalled(bool stalled) { m_stalled = stalled; }
    /** Open connections relay nothing more, without being closed; new ones work. */
    void silenceOpen() { ++m_silences; }
    /** Resets all open connections. */
    void resetAll();

private:
    void acceptLoop();
    void relayConnection(int caller);
    bool relayChunk(int from, int to);
    void addSocket(int socket);
    void removeSocket(int socket);

    std::mutex m_mutex;
    std::string m_destination;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::atomic<std::int64_t> m_delayMs{0};
    std::atomic<bool> m_stalled{false};
    /** Number of calls of silenceOpen(); a connection is silent if there was one since it was accepted. */
    std::atomic<std::uint64_t> m_silences{0};
    std::atomic<bool> m_stopping{false};
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::thread m_acceptor;
};
