#include "commandtable.h"

#include <algorithm>
#include <iostream>
#include <sstream>

using namespace nutmeghinge;

namespace {

std::string helpText(const std::vector<std::unique_ptr<Command>> &commands)
{
    std::string text = "Usage: nutmeghingectl COMMAND [ARGUMENTS]\n\nCommands:\n";
    for (const auto &command : commands) {
        text += "  " + command->name() + ' ' + command->usage() + "\n      " + command->purpose() + '\n';
    }
    return text + "\nExit codes: 0 success, 1 the platform or a node failed or an edit conflicted with another, 2 invalid command line or file.\n";
}

/** Splits the name of a command into its words. */
std::vector<std::string> wordsOf(const std::string &name)
{
    std::istringstream stream(name);
    std::vector<std::string> words;
    std::string word;
    while (stream >> word) {
        words.push_back(word);
    }
    return words;
}

ExitCode runCommand(const std::vector<std::unique_ptr<Command>> &commands, const std::vector<std::string> &arguments)
{
    for (const auto &command : commands) {
        const std::vector<std::string> words = wordsOf(command->name());
        if (arguments.size() >= words.size() && std::equal(words.begin(), words.end(), arguments.begin())) {
            return command->run({arguments.begin() + static_cast<std::ptrdiff_t>(words.size()), arguments.end()});
        }
    }
    std::cerr << helpText(commands);
    return ExitCode::InvalidInput;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::vector<std::unique_ptr<Command>> commands = makeCommands();
    if (!arguments.empty() && arguments.front() == "--version") {
        std::cout << "nutmeghingectl " NUTMEGHINGE_VERSION "\n";
        return 0;
    }
    if (!arguments.empty() && arguments.front() == "--help") {
        std::cout << helpText(commands);
        return 0;
    }
    return static_cast<int>(runCommand(commands, arguments));
}
