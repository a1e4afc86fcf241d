#include <fmt/format.h>
#include <gflags/gflags.h>

#include "counted_decisions.h"

DEFINE_string(policy, "ours", "");
DEFINE_int32(fixed, 0, "");
DEFINE_double(util, 0.8, "");
DEFINE_int32(user, 0, "");
DEFINE_int32(scenario, 0, "");
DEFINE_int32(seeds, 3, "");
DEFINE_bool(admission, false, "");

using namespace oleander::bench;
int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  for (int s = 1; s <= FLAGS_seeds; ++s) {
    RunOptions o;
    o.policy = FLAGS_policy; o.fixed_servers = FLAGS_fixed; o.utilisation = FLAGS_util;
    o.user = User(FLAGS_user); o.scenario = Scenario(FLAGS_scenario); o.seed = s; o.admission = FLAGS_admission;
    auto w = MakeWorkload(o.user, o.scenario, s);
    auto r = Run(o, w);
    fmt::print("{:20} calls {} ans {} ref {} late {} viol {} recomp {} prefill {} cost {:.1f} ttft95 {:.3f} lossy {:.3f} itl {:.4f} servers {:.1f} xbytes {} {}\n", o.policy, r.calls, r.answered, r.refused, r.late_refusals, r.fairness_violations, r.recomputed_tokens, r.prefilled_tokens, r.cost, r.first_token_p95, r.lossy_p95, r.between_p95, r.mean_servers, r.crossed_bytes, r.MeetsTarget());
  }
}
