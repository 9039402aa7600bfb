#include "tableepochreader.h"

#include "numberparsing.h"

#include <cstdint>

namespace nutmeghinge {

namespace {

/** Highest number of restorations that an answer may state. */
constexpr std::uint64_t maximumRestorations = std::uint64_t(1) << 32U;
/** Number of restorations by which an answer may exceed the last one. */
constexpr std::uint64_t maximumEpochStep = 1000;

} // namespace

std::variant<std::monostate, TableEpoch, TableEpochReader::Refused> TableEpochReader::read(std::optional<std::string_view> restorations, bool isRequired)
{
    const bool isKnown = m_epoch != TableEpoch();
    if (!restorations) {
        if (isKnown && isRequired) {
            return Refused{"it does not state how often the table was restored"};
        }
        return {};
    }
    const std::optional<std::uint64_t> number = parseNumber(*restorations);
    if (!number || *number > maximumRestorations) {
        return Refused{"its number of restorations of the table is invalid"};
    }
    const TableEpoch epoch(*number + 1);
    if (epoch < m_epoch) {
        return Refused{"it is of epoch " + std::to_string(epoch.value()) + " of the table, which is now in epoch " + std::to_string(m_epoch.value())};
    }
    if (isKnown && epoch.value() > m_epoch.value() + maximumEpochStep) {
        return Refused{"its epoch " + std::to_string(epoch.value()) + " of the table is too far above the last one, " + std::to_string(m_epoch.value())};
    }
    if (epoch == m_epoch) {
        return {};
    }
    m_epoch = epoch;
    return epoch;
}

} // namespace nutmeghinge
