#include "logsetup.h"

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <spdlog/formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace nutmeghinge {

namespace {

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
    auto logger = std::make_shared<spdlog::logger>(node, std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::warn);
    if (format == LogFormat::Json) {
        logger->set_formatter(std::make_unique<JsonLogFormatter>(node));
    } else {
        logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %n: %v");
    }
    spdlog::set_default_logger(std::move(logger));
}

} // namespace nutmeghinge
