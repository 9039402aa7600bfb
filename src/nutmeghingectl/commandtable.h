#pragma once

#include "command.h"

#include <memory>
#include <vector>

namespace nutmeghinge {

/** Creates all commands of the program, in the order of the help text. */
std::vector<std::unique_ptr<Command>> makeCommands();

} // namespace nutmeghinge
