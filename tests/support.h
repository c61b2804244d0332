// Shared by all tests: Boost.Test's main, RapidCheck as assertions, the seed printed.
#pragma once
#define BOOST_TEST_MODULE aldervale
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>

// Runs a property and fails the test case with RapidCheck's report (seed and counterexample included) when it doesn't hold.
#define ALDERVALE_PROPERTY(name, ...) BOOST_CHECK_MESSAGE(rc::check(name, __VA_ARGS__), name)

struct PrintSeed
{
    PrintSeed()
    {
        const char* params = std::getenv("RC_PARAMS");
        std::cout << "RC_PARAMS=" << (params != nullptr ? params : "(random seed)") << "\n";
    }
};

BOOST_TEST_GLOBAL_FIXTURE(PrintSeed);
