#include "timetext.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace nutmeghinge {

namespace {

struct DurationUnit {
    std::string_view name;
    Duration length;
};

/** Units in descending order of length. */
constexpr std::array durationUnits{
    DurationUnit{"h", std::chrono::hours(1)},
    DurationUnit{"m", std::chrono::minutes(1)},
    DurationUnit{"s", std::chrono::seconds(1)},
    DurationUnit{"ms", std::chrono::milliseconds(1)},
    DurationUnit{"us", std::chrono::microseconds(1)},
};

/** Maximum number of digits that cannot overflow a duration. */
constexpr std::size_t maximumDurationDigits = 9;

/** Parses a number that consists only of decimal digits. */
std::optional<int> parseDigits(std::string_view digits)
{
    int number = 0;
    if (digits.empty() || digits.find_first_not_of("0123456789") != std::string_view::npos) {
        return std::nullopt;
    }
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc()) {
        return std::nullopt;
    }
    return number;
}

/** Removes a number with the given count of digits and the character after it from the start of the text. Returns the number, or nothing if invalid. */
std::optional<int> takeField(std::string_view &text, std::size_t digits, char after)
{
    if (text.size() <= digits || text[digits] != after) {
        return std::nullopt;
    }
    const std::optional<int> number = parseDigits(text.substr(0, digits));
    text.remove_prefix(digits + 1);
    return number;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    const std::size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const std::optional<int> number = digits <= maximumDurationDigits ? parseDigits(text.substr(0, digits)) : std::nullopt;
    if (!number) {
        return std::nullopt;
    }
    for (const DurationUnit &unit : durationUnits) {
        if (text.substr(digits) == unit.name) {
            return *number * unit.length;
        }
    }
    return std::nullopt;
}

std::string durationText(Duration duration)
{
    for (const DurationUnit &unit : durationUnits) {
        if (duration.count() != 0 && duration % unit.length == Duration(0)) {
            return std::to_string(duration / unit.length) + std::string(unit.name);
        }
    }
    return "0s";
}

std::optional<WallTime> parseWallTime(std::string_view text)
{
    const auto year = takeField(text, 4, '-');
    const auto month = takeField(text, 2, '-');
    const auto day = takeField(text, 2, 'T');
    const auto hour = takeField(text, 2, ':');
    const auto minute = takeField(text, 2, ':');
    const bool hasMilliseconds = text.find('.') != std::string_view::npos;
    const auto second = takeField(text, 2, hasMilliseconds ? '.' : 'Z');
    const auto millisecond = hasMilliseconds ? takeField(text, 3, 'Z') : 0;
    if (!year || !month || !day || !hour || !minute || !second || !millisecond || !text.empty()) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{
        std::chrono::year(*year), std::chrono::month(static_cast<unsigned>(*month)), std::chrono::day(static_cast<unsigned>(*day))};
    if (!date.ok() || *year < 1970 || *hour > 23 || *minute > 59 || *second > 59) {
        return std::nullopt;
    }
    return std::chrono::sys_days(date) + std::chrono::hours(*hour) + std::chrono::minutes(*minute) + std::chrono::seconds(*second)
           + std::chrono::milliseconds(*millisecond);
}

std::string wallTimeText(WallTime time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(time - day);
    std::array<char, 64> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%04d-%02u-%02uT%02d:%02d:%02d",
                  static_cast<int>(date.year()),
                  static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()),
                  static_cast<int>(clock.hours().count()),
                  static_cast<int>(clock.minutes().count()),
                  static_cast<int>(clock.seconds().count()));
    std::string result = text.data();
    const auto milliseconds = clock.subseconds().count();
    if (milliseconds != 0) {
        std::snprintf(text.data(), text.size(), ".%03d", static_cast<int>(milliseconds));
        result += text.data();
    }
    return result + 'Z';
}

} // namespace nutmeghinge
