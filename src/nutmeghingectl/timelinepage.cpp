#include "timelinepage.h"

#include "jsonreader.h"
#include "timelinetemplate.h"
#include "timelinetext.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <tuple>

namespace nutmeghinge {

namespace {

constexpr std::size_t maxSingleRequests = 500;
constexpr std::uint64_t millisecondsPerSecond = 1000;

/** Second, node and record kind of a count. */
using CountKey = std::tuple<std::uint64_t, std::string, std::string>;

bool isAboutRequest(const TimelineEntry &entry)
{
    return entry.kind.starts_with("Request") || entry.kind.starts_with("Duplicate");
}

/** Returns one mark per entry; if there are many entries of requests, these become counts per second, node and kind. */
nlohmann::json toMarks(const std::vector<TimelineEntry> &entries)
{
    const bool counted = static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), isAboutRequest)) > maxSingleRequests;
    std::map<CountKey, std::uint64_t> counts;
    nlohmann::json marks = nlohmann::json::array();
    for (const TimelineEntry &entry : entries) {
        if (counted && isAboutRequest(entry)) {
            ++counts[{entry.wall / millisecondsPerSecond, entry.node, entry.kind}];
        } else {
            marks.push_back({{"t", entry.wall}, {"n", entry.node}, {"k", entry.kind}, {"l", TimelineText::toLine(entry)}});
        }
    }
    for (const auto &[key, count] : counts) {
        const auto &[second, node, kind] = key;
        marks.push_back({{"t", second * millisecondsPerSecond}, {"n", node}, {"k", kind}, {"c", count}});
    }
    return marks;
}

/** Escapes JSON so that it cannot end the script element that contains it. */
std::string scriptSafe(const std::string &json)
{
    std::string safe;
    for (const char letter : json) {
        letter == '<' ? safe += "\\u003c" : safe += letter;
    }
    return safe;
}

} // namespace

std::string TimelinePage::toHtml(const std::vector<TimelineEntry> &entries)
{
    return std::string(timelineHead) + scriptSafe(jsonToText(toMarks(entries))) + std::string(timelineTail);
}

bool TimelinePage::write(const std::string &path, const std::vector<TimelineEntry> &entries)
{
    std::ofstream file(path);
    file << toHtml(entries);
    file.close();
    return !file.fail();
}

} // namespace nutmeghinge
