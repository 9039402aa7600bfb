#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace nutmeghinge {

/** Path of a file in the folder of examples. */
inline std::string examplePath(const std::string &name)
{
    return std::filesystem::path(EXAMPLES_FOLDER) / name;
}

/** Text of a file in the folder of examples; empty where there is none. */
inline std::string exampleText(const std::string &name)
{
    std::ifstream file(examplePath(name));
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace nutmeghinge
