#include "commandtable.h"

#include "documentcheckcommand.h"
#include "documentdiffcommand.h"
#include "documentgetcommand.h"
#include "documenthistorycommand.h"
#include "documentputcommand.h"
#include "loadcommand.h"

namespace nutmeghinge {

std::vector<std::unique_ptr<Command>> makeCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<DocumentCheckCommand>());
    commands.push_back(std::make_unique<DocumentDiffCommand>());
    commands.push_back(std::make_unique<DocumentPutCommand>());
    commands.push_back(std::make_unique<DocumentGetCommand>());
    commands.push_back(std::make_unique<DocumentHistoryCommand>());
    commands.push_back(std::make_unique<LoadCommand>());
    return commands;
}

} // namespace nutmeghinge
