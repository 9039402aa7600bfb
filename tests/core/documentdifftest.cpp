#include "documentdiff.h"

#include "documentparser.h"
#include "examplefile.h"
#include "timetext.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace nutmeghinge;

namespace {

Document example()
{
    return std::get<Document>(parseDocument(exampleText("advice-desk.yaml")));
}

struct Edit {
    std::function<void(Document &)> change;
    DocumentChange expected;
};

const std::vector<Edit> edits{
    {[](Document &document) { document.hosts.emplace_back("b"); },
     {"hosts", "advice.kaosiam.example", "advice.kaosiam.example, b", "requests for these hosts reach the service: advice.kaosiam.example, b"}},
    {[](Document &document) { document.targetsCheckFence = false; },
     {"targets.checkFence", "true", "false", "targets refuse requests with an old fence: false"}},
    {[](Document &document) { document.executionLimit = std::chrono::milliseconds(1500); },
     {"targets.executionLimit", "2s", "1500ms", "a target runs one request for 1500ms at most"}},
    {[](Document &document) { document.shards = 512; }, {"keys.shards", "256", "512", "keys are divided anew into 512 shards"}},
    {[](Document &document) { document.objective = Document::Objective::UnavailableTime; },
     {"balance.objective", "imbalance", "unavailable-time", "balance weighs unavailable-time most"}},
    {[](Document &document) { document.targetRatio = 1.5; }, {"balance.targetRatio", "1.2", "1.5", "a peak of up to 1.5 times the mean load is left as it is"}},
    {[](Document &document) { document.holdLimit = std::chrono::hours(2); },
     {"leases.holdLimit", "1h", "2h", "owners keep their keys for up to 2h without the platform"}},
    {[](Document &document) { document.stop.reset(); }, {"stop.at", "2027-06-30T18:00:00Z", "", "the service no longer stops"}},
    {[](Document &document) { document.shrink.pop_back(); },
     {"shrink[2027-03-31T18:00:00Z]", "advice-3, advice-4", "", "advice-3, advice-4 no longer leave at 2027-03-31T18:00:00Z"}},
    {[](Document &document) {
         document.shrink.insert(document.shrink.begin(), {*parseWallTime("2027-01-01T00:00:00Z"), {"advice-2"}});
     },
     {"shrink[2027-01-01T00:00:00Z]", "", "advice-2", "advice-2 leaves at 2027-01-01T00:00:00Z"}},
    {[](Document &document) { document.shrink[0].leaving = {"advice-5"}; },
     {"shrink[2027-01-31T18:00:00Z]", "advice-5, advice-6", "advice-5", "advice-5 leaves at 2027-01-31T18:00:00Z, before it was advice-5, advice-6"}},
};

} // namespace

TEST_CASE("Comparing equal documents reports no changes")
{
    CHECK(differenceOf(example(), example()).empty());
    CHECK(differenceOf(Document(), Document()).empty());
}

TEST_CASE("A document change is reported with its field and values and effect")
{
    for (const Edit &edit : edits) {
        INFO(edit.expected.field);
        Document after = example();
        edit.change(after);
        CHECK(differenceOf(example(), after) == std::vector<DocumentChange>{edit.expected});
    }
}

TEST_CASE("All fields that differ between two documents are reported")
{
    const Document before = example();
    const Document after = std::get<Document>(parseDocument("service: other\n"));
    // The other fields of the example equal the defaults: among them the queue, the limits of retries, request bodies and
    // deduplication, the target ratio and the objective.
    std::vector<std::string> fields;
    for (const DocumentChange &change : differenceOf(before, after)) {
        fields.push_back(change.field);
    }
    CHECK(fields
          == std::vector<std::string>{"service",
                                      "hosts",
                                      "targets.allow",
                                      "targets.checkFence",
                                      "keys.header",
                                      "shrink[2027-01-31T18:00:00Z]",
                                      "shrink[2027-03-31T18:00:00Z]",
                                      "stop.at",
                                      "balance.movesPerMinute",
                                      "limits.deadline"});
}
