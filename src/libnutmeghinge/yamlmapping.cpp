#include "yamlmapping.h"

#include "timetext.h"
#include "yamlerrors.h"

#include <charconv>
#include <set>

namespace nutmeghinge {

namespace {

/** Maximum length of a field name or value that an error message repeats; the rest is cut off. */
constexpr std::size_t maximumNameBytes = 64;

int lineOf(const YAML::Node &node)
{
    return node.Mark().line + 1;
}

std::string quoted(std::string_view text)
{
    std::string result = "\"";
    result += text.substr(0, maximumNameBytes);
    return result + (text.size() > maximumNameBytes ? "...\"" : "\"");
}

/** Returns whether the scalar is written without quotes. */
bool isPlain(const YAML::Node &node)
{
    return node.Tag() != "!";
}

/** Parses the whole text as a number. */
template <typename Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number number{};
    const char *end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || last != end) {
        return std::nullopt;
    }
    return number;
}

std::string rangeText(const std::string &lowest, const std::string &highest)
{
    return "must be from " + lowest + " to " + highest;
}

std::string decimalText(double number)
{
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

} // namespace

YamlMapping::YamlMapping(YamlErrors &errors)
    : m_errors(&errors)
{
}

YamlMapping::YamlMapping(YamlErrors &errors, std::string path, int line, const YAML::Node &node)
    : m_errors(&errors)
    , m_path(std::move(path))
    , m_line(line)
{
    addFields(node);
}

void YamlMapping::addFields(const YAML::Node &node)
{
    std::set<std::string> names;
    for (const auto &entry : node) {
        if (!entry.first.IsScalar()) {
            m_errors->add(lineOf(entry.first), m_path, "names of fields must be text");
            continue;
        }
        Field field{entry.first.Scalar(), entry.second, lineOf(entry.first), false};
        if (!names.insert(field.name).second) {
            m_errors->add(field.line, pathOf(field.name), "is given more than once");
            continue;
        }
        m_fields.push_back(std::move(field));
    }
}

bool YamlMapping::has(std::string_view name) const
{
    return find(name) != nullptr;
}

void YamlMapping::require(std::string_view name)
{
    if (!has(name)) {
        m_errors->add(m_line, pathOf(name), "is missing");
    }
}

void YamlMapping::reportUnknown()
{
    for (const Field &field : m_fields) {
        if (!field.isKnown) {
            m_errors->add(field.line, pathOf(field.name), "is not a known field");
        }
    }
}

void YamlMapping::addError(std::string_view name, std::string reason)
{
    const Field *field = find(name);
    m_errors->add(field ? field->line : m_line, pathOf(name), std::move(reason));
}

const YamlMapping::Field *YamlMapping::find(std::string_view name) const
{
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), [&](const Field &field) { return field.name == name; });
    return found == m_fields.end() ? nullptr : &*found;
}

const YamlMapping::Field *YamlMapping::take(std::string_view name)
{
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), [&](const Field &field) { return field.name == name; });
    if (found == m_fields.end()) {
        return nullptr;
    }
    found->isKnown = true;
    return &*found;
}

const YamlMapping::Field *YamlMapping::takeScalar(std::string_view name, const char *expected)
{
    const Field *field = take(name);
    if (field && !field->value.IsScalar()) {
        addError(name, std::string("must be ") + expected);
        return nullptr;
    }
    return field;
}

std::string YamlMapping::pathOf(std::string_view name) const
{
    const std::string shortName(name.substr(0, maximumNameBytes));
    return m_path.empty() ? shortName : m_path + '.' + shortName;
}

bool YamlMapping::text(std::string_view name, std::string &value, TextCheck check)
{
    const Field *field = takeScalar(name, "text");
    if (!field) {
        return false;
    }
    if (const std::optional<std::string> reason = check(field->value.Scalar())) {
        addError(name, *reason);
        return false;
    }
    value = field->value.Scalar();
    return true;
}

void YamlMapping::texts(std::string_view name, std::vector<std::string> &values, TextCheck check)
{
    const Field *field = take(name);
    if (!field) {
        return;
    }
    if (!field->value.IsSequence() || field->value.size() == 0) {
        addError(name, "must be a list with at least one text");
        return;
    }
    std::vector<std::string> read;
    std::size_t position = 0;
    for (const YAML::Node &item : field->value) {
        addText(read, item, pathOf(name) + '[' + std::to_string(position++) + ']', check);
    }
    values = std::move(read);
}

void YamlMapping::addText(std::vector<std::string> &values, const YAML::Node &item, const std::string &path, TextCheck check)
{
    if (!item.IsScalar()) {
        m_errors->add(lineOf(item), path, "must be text");
        return;
    }
    const std::string &text = item.Scalar();
    if (const std::optional<std::string> reason = check(text)) {
        m_errors->add(lineOf(item), path, *reason);
        return;
    }
    if (std::find(values.begin(), values.end(), text) != values.end()) {
        m_errors->add(lineOf(item), path, "is given more than once");
        return;
    }
    values.push_back(text);
}

void YamlMapping::flag(std::string_view name, bool &value)
{
    choice<bool>(name, value, {{"true", true}, {"false", false}});
}

void YamlMapping::ratio(std::string_view name, double &value, double lowest, double highest)
{
    const Field *field = takeScalar(name, "a number");
    if (!field) {
        return;
    }
    const std::optional<double> number = isPlain(field->value) ? parseNumber<double>(field->value.Scalar()) : std::nullopt;
    if (!number) {
        addError(name, "must be a number");
        return;
    }
    // This form also rejects NaN.
    if (!(*number >= lowest && *number <= highest)) {
        addError(name, rangeText(decimalText(lowest), decimalText(highest)));
        return;
    }
    value = *number;
}

std::optional<std::uint64_t> YamlMapping::wholeNumber(std::string_view name, std::uint64_t lowest, std::uint64_t highest)
{
    const Field *field = takeScalar(name, "a whole number");
    if (!field) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> number = isPlain(field->value) ? parseNumber<std::int64_t>(field->value.Scalar()) : std::nullopt;
    if (!number) {
        addError(name, "must be a whole number");
        return std::nullopt;
    }
    if (*number < 0 || static_cast<std::uint64_t>(*number) < lowest || static_cast<std::uint64_t>(*number) > highest) {
        addError(name, rangeText(std::to_string(lowest), std::to_string(highest)));
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(*number);
}

void YamlMapping::duration(std::string_view name, Duration &value, Duration lowest, Duration highest)
{
    const Field *field = takeScalar(name, "a duration");
    if (!field) {
        return;
    }
    const std::optional<Duration> duration = parseDuration(field->value.Scalar());
    if (!duration) {
        addError(name, "must be a duration such as 250ms, 2s, 10m or 1h");
        return;
    }
    if (*duration < lowest || *duration > highest) {
        addError(name, rangeText(durationText(lowest), durationText(highest)));
        return;
    }
    value = *duration;
}

bool YamlMapping::time(std::string_view name, WallTime &value)
{
    const Field *field = takeScalar(name, "a UTC time");
    if (!field) {
        return false;
    }
    const std::optional<WallTime> time = parseWallTime(field->value.Scalar());
    if (!time) {
        addError(name, "must be a UTC time such as 2027-01-31T18:00:00Z");
        return false;
    }
    value = *time;
    return true;
}

std::optional<std::size_t> YamlMapping::wordPosition(std::string_view name, const std::vector<std::string_view> &words)
{
    std::string expected;
    for (const std::string_view word : words) {
        expected += (expected.empty() ? "" : " or ") + std::string(word);
    }
    const Field *field = takeScalar(name, expected.c_str());
    if (!field) {
        return std::nullopt;
    }
    const auto found = std::find(words.begin(), words.end(), field->value.Scalar());
    if (found == words.end()) {
        addError(name, "must be " + expected + ", not " + quoted(field->value.Scalar()));
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - words.begin());
}

YamlMapping YamlMapping::mapping(std::string_view name)
{
    const Field *field = take(name);
    if (!field) {
        return YamlMapping(*m_errors);
    }
    if (!field->value.IsMap()) {
        addError(name, "must be a mapping of fields");
        return YamlMapping(*m_errors);
    }
    return {*m_errors, pathOf(name), field->line, field->value};
}

std::vector<YamlMapping> YamlMapping::mappings(std::string_view name)
{
    std::vector<YamlMapping> result;
    const Field *field = take(name);
    if (field && !field->value.IsSequence()) {
        addError(name, "must be a list");
        return result;
    }
    std::size_t position = 0;
    for (const YAML::Node &item : field ? field->value : YAML::Node()) {
        const std::string path = pathOf(name) + '[' + std::to_string(position++) + ']';
        if (!item.IsMap()) {
            m_errors->add(lineOf(item), path, "must be a mapping of fields");
            continue;
        }
        result.emplace_back(*m_errors, path, lineOf(item), item);
    }
    return result;
}

} // namespace nutmeghinge
