#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "../memorybound.h"

int main(int argc, char **argv)
{
    boundMemory();
    return Catch::Session().run(argc, argv);
}
