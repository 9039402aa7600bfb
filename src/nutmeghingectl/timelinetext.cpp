#include "timelinetext.h"

#include <array>
#include <ctime>

namespace nutmeghinge {

namespace {

constexpr std::uint64_t millisecondsPerSecond = 1000;

std::string timeText(std::uint64_t wall)
{
    const auto seconds = static_cast<std::time_t>(wall / millisecondsPerSecond);
    std::tm fields{};
    gmtime_r(&seconds, &fields);
    std::array<char, 32> buffer{};
    const std::size_t length = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &fields);
    const std::string digits = std::to_string(millisecondsPerSecond + wall % millisecondsPerSecond);
    return std::string(buffer.data(), length) + '.' + digits.substr(1) + 'Z';
}

void addNumber(std::string &line, const char *name, const std::optional<std::uint64_t> &number)
{
    if (number) {
        line += std::string(" ") + name + ' ' + std::to_string(*number);
    }
}

/** Replaces control characters by spaces, since a line break in the detail would split the line. */
std::string printable(std::string text)
{
    for (char &letter : text) {
        if (static_cast<unsigned char>(letter) < ' ') {
            letter = ' ';
        }
    }
    return text;
}

} // namespace

std::string TimelineText::toLine(const TimelineEntry &entry)
{
    std::string line = timeText(entry.wall) + ' ' + std::to_string(entry.counter) + ' ' + entry.node + ' ' + entry.kind;
    addNumber(line, "request", entry.request);
    if (!entry.callerId.empty()) {
        line += " id " + entry.callerId;
    }
    addNumber(line, "shard", entry.shard);
    addNumber(line, "member", entry.member);
    addNumber(line, "document", entry.document);
    if (!entry.fence.empty()) {
        line += " fence " + entry.fence;
    }
    return printable(entry.detail.empty() ? line : line + ": " + entry.detail);
}

nlohmann::json TimelineText::toJson(const TimelineEntry &entry)
{
    nlohmann::json json{{"wall", entry.wall}, {"counter", entry.counter}, {"node", entry.node}, {"kind", entry.kind}, {"detail", entry.detail}};
    const auto add = [&json](const char *name, const std::optional<std::uint64_t> &number) {
        if (number) {
            json[name] = *number;
        }
    };
    add("request", entry.request);
    add("shard", entry.shard);
    add("member", entry.member);
    add("document", entry.document);
    if (!entry.callerId.empty()) {
        json["callerId"] = entry.callerId;
    }
    if (!entry.fence.empty()) {
        json["fence"] = entry.fence;
    }
    return json;
}

} // namespace nutmeghinge
