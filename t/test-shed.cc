/*
 * Overload and recovery, replayed from traces under three policies.  Only the
 * adaptive policy has to keep bounds; the others are printed for comparison.
 */
#include <gtest/gtest.h>

#include "t/overload.h"

extern "C" {
#include "core/shed.h"
}

namespace {

void
print_outcome(
    const char *trace, const char *weighing, Policy policy, const Outcome &o)
{
	printf("%-24s %-8s %-8s before %4.0f/s during %4.0f/s of %4.0f/s "
	       "recovery %4.1f s worst %3.0f%% wrongful %.2f%% wasted %2.0f%% "
	       "complete low/normal/high %3.0f/%3.0f/%3.0f%%\n",
	    trace, weighing, policy_name(policy), o.goodput_before,
	    o.goodput_during, std::min(o.capacity, o.offered), o.recovery_s,
	    100 * o.worst_org_ratio, 100 * o.wrongful_ratio,
	    100 * o.wasted_ratio, 100 * o.ratio_by_class[0],
	    100 * o.ratio_by_class[1], 100 * o.ratio_by_class[2]);
}

class Overload : public testing::TestWithParam<std::string> {
      protected:
	Outcome
	replay_trace(Policy policy, const char *weighing = nullptr)
	{
		Outcome o = overload_replay(
		    "t/traces/" + GetParam() + ".trace", policy, 5, weighing);

		print_outcome(
		    GetParam().c_str(), weighing ? weighing : "own", policy, o);
		return o;
	}
};

} // namespace

TEST_P(Overload, AdaptivePolicyKeepsGoodputAndRecovers)
{
	Outcome o = replay_trace(Policy::adaptive);

	EXPECT_GE(o.goodput_during, 0.95 * std::min(o.capacity, o.offered));
	EXPECT_GE(o.recovery_s, 0);
	EXPECT_LE(o.recovery_s, 5);
	EXPECT_EQ(o.shed_high_calls, 0u);
	EXPECT_LE(o.max_extra_tries, 3u);
	if (o.capacity >= o.offered) {
		EXPECT_GE(o.worst_org_ratio, 0.9);
	}
}

TEST_P(Overload, PrintOtherPoliciesAndWeighings)
{
	replay_trace(Policy::none);
	replay_trace(Policy::fixed);
	replay_trace(Policy::adaptive, "recovery");
	replay_trace(Policy::adaptive, "goodput");
}

INSTANTIATE_TEST_SUITE_P(Traces, Overload,
    testing::Values("association-deep-slow", "association-surge",
	"rail-deep-slow", "rail-surge"));
