#pragma once

#include "ids.h"

#include <optional>
#include <string>

/**
 * Keys of a cell's rows in the platform's table. Each epoch of the table has a key of its own, so that a version from one epoch is
 * never compared with a row of another that was given the same version.
 */
namespace nutmeghinge {

/** Returns the key in the epoch. baseKey: key in a table that does not state its epoch. */
std::string cellRowKey(const std::string &baseKey, TableEpoch epoch);
/** Returns the epoch of a key; empty if the key is of another cell. */
std::optional<TableEpoch> epochOfCellRowKey(const std::string &baseKey, const std::string &key);
/** Returns a key above those of all epochs. */
std::string cellRowKeyEnd(const std::string &baseKey);

} // namespace nutmeghinge
