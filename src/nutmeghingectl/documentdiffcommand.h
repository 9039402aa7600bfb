#pragma once

#include "command.h"

namespace nutmeghinge {

/** Prints the fields in which two documents differ and what each change does. */
class DocumentDiffCommand : public Command
{
public:
    std::string name() const override { return "document diff"; }
    std::string usage() const override { return "FILE --against FILE [--json]"; }
    std::string purpose() const override { return "tell what an edit changes"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
