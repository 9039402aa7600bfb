#include "commandtable.h"

#include "documentcheckcommand.h"
#include "documentdiffcommand.h"
#include "documentgetcommand.h"
#include "documenthistorycommand.h"
#include "documentputcommand.h"
#include "explaincommand.h"
#include "loadcommand.h"
#include "statuscommand.h"
#include "timelinecommand.h"

namespace nutmeghinge {

std::vector<std::unique_ptr<Command>> makeCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<DocumentCheckCommand>());
    commands.push_back(std::make_unique<DocumentDiffCommand>());
    commands.push_back(std::make_unique<DocumentPutCommand>());
    commands.push_back(std::make_unique<DocumentGetCommand>());
    commands.push_back(std::make_unique<DocumentHistoryCommand>());
    commands.push_back(std::make_unique<ExplainCommand>());
    commands.push_back(std::make_unique<LoadCommand>());
    commands.push_back(std::make_unique<StatusCommand>());
    commands.push_back(std::make_unique<TimelineCommand>());
    return commands;
}

} // namespace nutmeghinge
