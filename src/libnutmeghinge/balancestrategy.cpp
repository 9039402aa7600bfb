#include "balancestrategy.h"

#include "document.h"
#include "evenloadstrategy.h"
#include "rangestrategy.h"
#include "steadyownershipstrategy.h"
#include "successorplanner.h"

namespace nutmeghinge {

std::unique_ptr<BalanceStrategy> makeBalanceStrategy(const Document &document)
{
    if (document.placedByRange) {
        return std::make_unique<RangeStrategy>();
    }
    if (document.objective == Document::Objective::UnavailableTime) {
        return std::make_unique<SteadyOwnershipStrategy>();
    }
    return std::make_unique<EvenLoadStrategy>();
}

std::vector<std::vector<MemberSlot>> planSuccessors(const BalanceInput &input)
{
    return SuccessorPlanner(input).plan();
}

} // namespace nutmeghinge
