#include "cellrowkey.h"

#include "numberparsing.h"

#include <algorithm>
#include <string_view>

namespace nutmeghinge {

namespace {

constexpr char epochSeparator = '@';
constexpr std::size_t epochDigits = 10;

} // namespace

std::string cellRowKey(const std::string &baseKey, TableEpoch epoch)
{
    if (epoch == TableEpoch()) {
        return baseKey;
    }
    const std::string digits = std::to_string(epoch.value());
    return baseKey + epochSeparator + std::string(epochDigits - std::min(epochDigits, digits.size()), '0') + digits;
}

std::optional<TableEpoch> epochOfCellRowKey(const std::string &baseKey, const std::string &key)
{
    if (key == baseKey) {
        return TableEpoch();
    }
    const bool isOfCell = key.size() > baseKey.size() && key.starts_with(baseKey) && key[baseKey.size()] == epochSeparator;
    const std::optional<std::uint64_t> number = isOfCell ? parseNumber(std::string_view(key).substr(baseKey.size() + 1)) : std::nullopt;
    return number ? std::optional(TableEpoch(*number)) : std::nullopt;
}

std::string cellRowKeyEnd(const std::string &baseKey)
{
    return baseKey + static_cast<char>(epochSeparator + 1);
}

} // namespace nutmeghinge
