#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace nutmeghinge {

/** Returns the path of a file in the examples folder. */
inline std::string examplePath(const std::string &name)
{
    return std::filesystem::path(EXAMPLES_FOLDER) / name;
}

/** Returns the text of a file in the examples folder; empty if the file does not exist. */
inline std::string exampleText(const std::string &name)
{
    std::ifstream file(examplePath(name));
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace nutmeghinge
