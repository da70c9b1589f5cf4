/*
 * The queue by itself, and overload and recovery replayed from traces under
 * three policies side by side.
 */
#include <gtest/gtest.h>

#include "t/overload.h"

extern "C" {
#include "core/shed.h"
}

namespace {

void
print(const char *trace, const char *weighing, Policy policy, const Outcome &o)
{
	printf("%-24s %-8s %-6s before %4.0f/s during %4.0f/s of %4.0f/s "
	       "recovery %4.1f s worst %3.0f%% wrongful %.2f%% wasted %2.0f%% "
	       "whole low/normal/high %3.0f/%3.0f/%3.0f%%\n",
	    trace, weighing, policy_name(policy), o.before, o.during,
	    std::min(o.capacity, o.offered), o.recovery_s, 100 * o.worst_part,
	    100 * o.wrongful_part, 100 * o.wasted_part, 100 * o.by_class[0],
	    100 * o.by_class[1], 100 * o.by_class[2]);
}

class Overload : public testing::TestWithParam<std::string> {
      protected:
	Outcome
	play(Policy policy, const char *weighing = nullptr)
	{
		Outcome o = overload_play(
		    "t/traces/" + GetParam() + ".trace", policy, 5, weighing);

		print(
		    GetParam().c_str(), weighing ? weighing : "own", policy, o);
		return o;
	}
};

} // namespace

TEST_P(Overload, OursKeepsTheStatedOutcomes)
{
	Outcome o = play(Policy::ours);

	EXPECT_GE(o.during, 0.95 * std::min(o.capacity, o.offered));
	EXPECT_GE(o.recovery_s, 0);
	EXPECT_LE(o.recovery_s, 5);
	EXPECT_EQ(o.shed_high, 0u);
	EXPECT_LE(o.most_tries_over, 3u);
	if (o.capacity >= o.offered) {
		EXPECT_GE(o.worst_part, 0.9);
	}
}

TEST_P(Overload, OtherPoliciesAndWeighings)
{
	play(Policy::off);
	play(Policy::usual);
	play(Policy::ours, "recovery");
	play(Policy::ours, "goodput");
}

INSTANTIATE_TEST_SUITE_P(Traces, Overload,
    testing::Values("association-deep-slow", "association-surge",
	"rail-deep-slow", "rail-surge"));
