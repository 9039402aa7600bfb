#include "logsetup.h"

#include <chrono>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <thread>

namespace nutmeghinge {

namespace {

/** Capacity of the queue of unwritten lines: enough for several seconds of a node that refuses many requests, in under half a megabyte. */
constexpr std::size_t queueCapacity = 1024;
/** Time for which a stopping process waits for the reader of its output; well within the time that it has to stop. */
constexpr auto flushTimeout = std::chrono::milliseconds(300);

/** Writes each message as one JSON object. */
class JsonLogFormatter : public spdlog::formatter
{
public:
    explicit JsonLogFormatter(std::string node)
        : m_node(std::move(node))
    {
    }

    void format(const spdlog::details::log_msg &message, spdlog::memory_buf_t &destination) override
    {
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(message.time.time_since_epoch()).count();
        const auto level = spdlog::level::to_string_view(message.level);
        const nlohmann::json object{
            {"timeMs", time},
            {"level", std::string(level.data(), level.size())},
            {"node", m_node},
            {"message", std::string(message.payload.data(), message.payload.size())},
        };
        const std::string line = object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
        destination.append(line.data(), line.data() + line.size());
    }

    std::unique_ptr<spdlog::formatter> clone() const override { return std::make_unique<JsonLogFormatter>(m_node); }

private:
    std::string m_node;
};

} // namespace

void setUpLog(const std::string &level, LogFormat format, const std::string &node)
{
    spdlog::init_thread_pool(queueCapacity, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    auto logger = std::make_shared<spdlog::async_logger>(node, std::move(sink), spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_level(spdlog::level::from_str(level));
    if (format == LogFormat::Json) {
        logger->set_formatter(std::make_unique<JsonLogFormatter>(node));
    } else {
        logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %n: %v");
    }
    spdlog::set_default_logger(std::move(logger));
}

std::uint64_t droppedLogLines()
{
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

void shutDownLog()
{
    std::promise<void> shutDown;
    std::future<void> flushed = shutDown.get_future();
    std::thread([shutDown = std::move(shutDown)]() mutable {
        spdlog::shutdown();
        shutDown.set_value();
    }).detach();
    flushed.wait_for(flushTimeout);
}

} // namespace nutmeghinge
