#pragma once

#include "command.h"

#include <memory>
#include <vector>

namespace nutmeghinge {

/** Every command of the program, in the order of the help. */
std::vector<std::unique_ptr<Command>> makeCommands();

} // namespace nutmeghinge
