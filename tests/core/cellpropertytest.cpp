#include "cellharness.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck/catch.h>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

struct Fault {
    enum class Kind : std::uint8_t {
        CutPair,
        HealPair,
        Isolate,
        HealNode,
        CutOneFromCoordinator,
        Pause,
        PauseCoordinator,
        Kill,
        KillCoordinator,
        Restart,
        PlatformDown,
        PlatformUp,
        LoseAnswers,
        KeepAnswers,
        SlowNetwork,
        FastNetwork,
        CutFromPlatform,
        ReachPlatform,
        Stop,
    };
    Kind kind = Kind::Pause;
    std::size_t a = 0;
    std::size_t b = 0;
    /** Time until the next fault. */
    Duration wait{0};
    /** Duration of a pause. */
    Duration length{0};
};

void showValue(const Fault &fault, std::ostream &out)
{
    out << "{kind " << static_cast<int>(fault.kind) << ", nodes " << fault.a << " " << fault.b << ", then " << fault.wait.count() << " us, length "
        << fault.length.count() << " us}";
}

std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
    showValue(fault, out);
    return out;
}

/** Uniform distribution over the whole range, regardless of the size of the generated case. */
template <typename T>
rc::Gen<T> within(T least, T most)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(least, static_cast<T>(most + 1)));
}

rc::Gen<Fault> anyFault()
{
    return rc::gen::exec([] {
        Fault fault;
        fault.kind = static_cast<Fault::Kind>(*within(0, static_cast<int>(Fault::Kind::Stop)));
        fault.a = *within<std::size_t>(0, 63);
        fault.b = *within<std::size_t>(0, 63);
        fault.wait = std::chrono::milliseconds(*within(0, 1200));
        fault.length = std::chrono::milliseconds(*within(50, 2000));
        return fault;
    });
}

void inject(CellHarness &harness, const Fault &fault)
{
    const std::size_t a = fault.a % harness.size();
    const std::size_t b = fault.b % harness.size();
    const std::size_t coordinator = harness.coordinator();
    const std::size_t target = coordinator < harness.size() ? coordinator : a;
    switch (fault.kind) {
    case Fault::Kind::CutPair:
    case Fault::Kind::HealPair:
        harness.cut(a, b, fault.kind == Fault::Kind::CutPair);
        break;
    case Fault::Kind::Isolate:
    case Fault::Kind::HealNode:
        harness.isolate(a, fault.kind == Fault::Kind::Isolate);
        break;
    case Fault::Kind::CutOneFromCoordinator:
        harness.cut(target, b, true);
        break;
    case Fault::Kind::Pause:
        harness.pause(a, fault.length);
        break;
    case Fault::Kind::PauseCoordinator:
        harness.pause(target, fault.length);
        break;
    case Fault::Kind::Kill:
        harness.kill(a);
        break;
    case Fault::Kind::KillCoordinator:
        harness.kill(target);
        break;
    case Fault::Kind::Restart:
        harness.restart(a);
        break;
    case Fault::Kind::PlatformDown:
    case Fault::Kind::PlatformUp:
        harness.platform.down = fault.kind == Fault::Kind::PlatformDown;
        break;
    case Fault::Kind::LoseAnswers:
    case Fault::Kind::KeepAnswers:
        harness.platform.losesAnswers = fault.kind == Fault::Kind::LoseAnswers;
        break;
    case Fault::Kind::SlowNetwork:
        harness.networkDelay = 900ms;
        harness.lossPerMille = 100;
        harness.duplicatePerMille = 100;
        break;
    case Fault::Kind::FastNetwork:
        harness.networkDelay = 1ms;
        harness.lossPerMille = 0;
        harness.duplicatePerMille = 0;
        break;
    case Fault::Kind::CutFromPlatform:
        harness.cutFromPlatform.insert(a);
        harness.cutFromPlatform.insert(target);
        break;
    case Fault::Kind::ReachPlatform:
        harness.cutFromPlatform.clear();
        break;
    case Fault::Kind::Stop:
        if (harness.isUp(a)) {
            harness.stop(a);
        }
        break;
    }
}

void heal(CellHarness &harness)
{
    harness.healNetwork();
    harness.platform.down = false;
    harness.platform.losesAnswers = false;
    harness.cutFromPlatform.clear();
    for (std::size_t node = 0; node < harness.size(); ++node) {
        if (!harness.isUp(node) || harness.isStopping(node)) {
            harness.restart(node);
        }
    }
}

} // namespace

TEST_CASE("No two nodes admit the same shard during faults, and all shards are served after the faults end")
{
    const char *longer = std::getenv("NUTMEGHINGE_PROPERTY_FAULTS");
    const std::size_t most = longer ? std::strtoul(longer, nullptr, 10) : 12;
    rc::prop("at most one owner", [most](std::uint64_t seed, bool checksFence) {
        CellHarness::Options options;
        options.seed = seed;
        options.checksFence = checksFence;
        options.startsWork = true;
        options.holdLimit = *rc::gen::element<Duration>(2s, 20s);
        options.nodes = *within<std::size_t>(1, 5);
        const auto faults = *rc::gen::container<std::vector<Fault>>(*within<std::size_t>(0, most), anyFault());
        CellHarness harness(options);
        harness.run(std::chrono::milliseconds(*within(0, 12000)));
        for (const Fault &fault : faults) {
            inject(harness, fault);
            harness.run(fault.wait);
            RC_ASSERT(harness.violation() == "");
        }
        heal(harness);
        const bool served = harness.runUntil([&] { return harness.allServed(); }, 40s).has_value();
        RC_ASSERT(harness.violation() == "");
        RC_ASSERT(served);
    });
}
