#include "recordline.h"

#include "fencetext.h"
#include "percentencoding.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <type_traits>
#include <utility>

namespace nutmeghinge {

namespace {

template <typename Number>
bool readNumber(std::string_view text, Number &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

template <typename Id>
bool readId(std::string_view text, std::optional<Id> &id)
{
    std::remove_cvref_t<decltype(std::declval<Id>().value())> number{};
    if (!readNumber(text, number)) {
        return false;
    }
    id = Id(number);
    return true;
}

bool readCallerId(std::string_view text, TimelineRecord &record)
{
    record.callerId = percentDecode(text);
    return true;
}

bool readLongestDelay(std::string_view text, TimelineRecord &record)
{
    std::chrono::milliseconds::rep milliseconds = 0;
    if (!readNumber(text, milliseconds)) {
        return false;
    }
    record.longestDelay = std::chrono::milliseconds(milliseconds);
    return true;
}

bool readFence(std::string_view text, TimelineRecord &record)
{
    record.fence = fenceFromText(text);
    return record.fence.has_value();
}

bool readTime(std::string_view text, TimelineRecord &record)
{
    const std::size_t dot = text.find('.');
    WallTime::rep wall = 0;
    if (dot == std::string_view::npos || !readNumber(text.substr(0, dot), wall) || !readNumber(text.substr(dot + 1), record.time.counter)) {
        return false;
    }
    record.time.wall = WallTime(WallTime::duration(wall));
    return true;
}

struct Field {
    std::string_view name;
    bool (*read)(std::string_view text, TimelineRecord &record);
};

constexpr std::array fields{
    Field{"request", [](std::string_view text, TimelineRecord &record) { return readId(text, record.request); }},
    Field{"id", readCallerId},
    Field{"shard", [](std::string_view text, TimelineRecord &record) { return readId(text, record.shard); }},
    Field{"member", [](std::string_view text, TimelineRecord &record) { return readId(text, record.member); }},
    Field{"document", [](std::string_view text, TimelineRecord &record) { return readId(text, record.document); }},
    Field{"longestDelayMs", readLongestDelay},
    Field{"fence", readFence},
    Field{"at", readTime},
};

/** Name of the last field. The rest of the line after it is the detail. */
constexpr std::string_view lastField = "at";

void append(std::string &line, std::string_view name, const std::string &value)
{
    line.append(" ").append(name).append("=").append(value);
}

template <typename Id>
void append(std::string &line, std::string_view name, const std::optional<Id> &id)
{
    if (id) {
        append(line, name, std::to_string(id->value()));
    }
}

} // namespace

std::string recordToLine(const TimelineRecord &record)
{
    std::string line(nameOf(record.kind));
    append(line, "request", record.request);
    if (!record.callerId.empty()) {
        append(line, "id", percentEncode(record.callerId));
    }
    append(line, "shard", record.shard);
    append(line, "member", record.member);
    append(line, "document", record.document);
    if (record.longestDelay) {
        append(line, "longestDelayMs", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*record.longestDelay).count()));
    }
    if (record.fence) {
        append(line, "fence", fenceToText(*record.fence));
    }
    append(line, lastField, std::to_string(record.time.wall.time_since_epoch().count()) + '.' + std::to_string(record.time.counter));
    return record.detail.empty() ? line : line + ' ' + record.detail;
}

std::optional<TimelineRecord> recordFromLine(std::string_view line)
{
    const auto takeWord = [&line] {
        const std::size_t end = std::min(line.find(' '), line.size());
        const std::string_view word = line.substr(0, end);
        line.remove_prefix(std::min(end + 1, line.size()));
        return word;
    };
    const std::optional<TimelineRecord::Kind> kind = kindOfName(takeWord());
    if (!kind) {
        return std::nullopt;
    }
    TimelineRecord record;
    record.kind = *kind;
    std::string_view name;
    while (name != lastField) {
        const std::string_view word = takeWord();
        name = word.substr(0, word.find('='));
        const auto *const field = std::find_if(fields.begin(), fields.end(), [&](const Field &known) { return known.name == name; });
        if (field == fields.end() || name.size() == word.size() || !field->read(word.substr(name.size() + 1), record)) {
            return std::nullopt;
        }
    }
    record.detail = line;
    return record;
}

} // namespace nutmeghinge
