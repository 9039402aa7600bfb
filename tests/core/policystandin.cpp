#include "balancestrategy.h"
#include "documentparser.h"

#include <sstream>

namespace nutmeghinge {

namespace {

class FewestShardsStrategy : public BalanceStrategy
{
public:
    std::vector<PlannedMove> plan(const BalanceInput &input) const override
    {
        std::vector<PlannedMove> moves;
        std::vector<std::size_t> count(input.members.size(), 0);
        for (const ShardOwnership &entry : input.map.shards) {
            for (std::size_t i = 0; i < input.members.size(); ++i) {
                count[i] += entry.state == ShardOwnership::State::Owned && entry.owner == input.members[i].slot ? 1 : 0;
            }
        }
        for (std::uint32_t s = 0; s < input.map.shards.size(); ++s) {
            const ShardOwnership &entry = input.map.shards[s];
            bool ownerEligible = false;
            std::size_t best = input.members.size();
            for (std::size_t i = 0; i < input.members.size(); ++i) {
                ownerEligible = ownerEligible || (input.members[i].slot == entry.owner && input.members[i].eligible);
                if (input.members[i].eligible && (best == input.members.size() || count[i] < count[best])) {
                    best = i;
                }
            }
            if (best == input.members.size() || entry.state == ShardOwnership::State::Releasing) {
                continue;
            }
            if (entry.state == ShardOwnership::State::Unowned || !ownerEligible) {
                moves.push_back(PlannedMove{ShardIndex(s), input.members[best].slot});
                ++count[best];
            }
        }
        evenOut(input, count, moves);
        return moves;
    }

private:
    static void evenOut(const BalanceInput &input, std::vector<std::size_t> &count, std::vector<PlannedMove> &moves)
    {
        std::uint32_t budget = moves.empty() ? input.moveBudget : 0;
        for (std::uint32_t s = 0; s < input.map.shards.size() && budget > 0; ++s) {
            for (std::size_t from = 0; from < count.size(); ++from) {
                const bool owned = input.map.shards[s].state == ShardOwnership::State::Owned && input.map.shards[s].owner == input.members[from].slot;
                for (std::size_t to = 0; owned && to < count.size(); ++to) {
                    if (input.members[to].eligible && count[from] > count[to] + 1 && budget > 0) {
                        moves.push_back(PlannedMove{ShardIndex(s), input.members[to].slot});
                        --count[from];
                        ++count[to];
                        --budget;
                        break;
                    }
                }
            }
        }
    }
};

} // namespace

std::unique_ptr<BalanceStrategy> makeBalanceStrategy(const Document &)
{
    return std::make_unique<FewestShardsStrategy>();
}

std::vector<std::vector<MemberSlot>> planSuccessors(const BalanceInput &input)
{
    std::vector<std::vector<MemberSlot>> result;
    for (const ShardOwnership &entry : input.map.shards) {
        std::vector<MemberSlot> successors;
        for (const BalanceMember &member : input.members) {
            if (member.eligible && member.slot != entry.owner && successors.size() < 2) {
                successors.push_back(member.slot);
            }
        }
        result.push_back(successors);
    }
    return result;
}

ParsedDocument parseDocument(std::string_view text)
{
    std::istringstream in{std::string(text)};
    Document document;
    document.service = ServiceName("advice-desk");
    document.keyHeader = "x-key";
    std::string word;
    while (in >> word) {
        const auto at = word.find('=');
        const std::string key = word.substr(0, at);
        const std::string value = word.substr(at + 1);
        if (key == "shards") {
            document.shards = static_cast<std::uint32_t>(std::stoul(value));
        } else if (key == "check") {
            document.targetsCheckFence = value == "1";
        } else if (key == "exec") {
            document.executionLimit = std::chrono::milliseconds(std::stol(value));
        } else if (key == "hold") {
            document.holdLimit = std::chrono::milliseconds(std::stol(value));
        } else if (key == "leave") {
            document.shrink.push_back(ShrinkStep{WallTime(), {value}});
        } else {
            return std::vector<DocumentFault>{{1, key, "unknown"}};
        }
    }
    return document;
}

} // namespace nutmeghinge
