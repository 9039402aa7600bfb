#pragma once

#include "ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace nutmeghinge {

/** Reads the epoch of the platform's table from its answers, which state how often the table was restored from a copy. */
class TableEpochReader
{
public:
    /** The answer must not be used. */
    struct Refused {
        std::string reason;
    };

    /**
     * Reads the number of restorations that an answer states. isRequired: whether the answer must state it if an earlier one did.
     * Returns the epoch if it is higher than known, or why the answer must not be used; otherwise nothing.
     */
    std::variant<std::monostate, TableEpoch, Refused> read(std::optional<std::string_view> restorations, bool isRequired);
    /** Returns the highest epoch read; 0 if no answer has stated one. */
    TableEpoch epoch() const { return m_epoch; }

private:
    TableEpoch m_epoch;
};

} // namespace nutmeghinge
