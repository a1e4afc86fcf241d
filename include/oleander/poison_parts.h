// Finds the requests, and the parts of prompts, that crash backend servers, so
// that they are refused before they end one server after the other.
//
// A caller may send the same request again and again, and any instance may get
// it. Each call therefore counts as one more part: the request as a whole.
//
// A server runs many requests at once, and each of those that had no event yet
// may have caused its crash. Three kinds of evidence tell the poison part from
// the others. If the server had sent the head of an answer, only the requests
// whose answers had begun are blamed. A part that was answered on shortly
// before a crash, or at any time after it, is not blamed for it. Of the
// remaining parts, the fewest that explain all crashes are suspected: first the
// one under which most servers crashed, then the one under which most of the
// others did, and so on. So the parts that a poison part shares requests with
// are not suspected, also while nothing is answered because all servers are
// down.
//
// A whole request is the narrowest explanation, so it comes before its parts,
// and is blamed whether or not its answer had begun. The parts of a suspected
// request are blamed for one of its crashes only.
//
// Each instance sees only a few of the crashes. Instances exchange their
// evidence and draw the same conclusions from the same evidence.
//
// A suspicion holds for a while after the last crash. Then the instances admit
// single requests, at first at one instance of all. An answer to one of them
// ends the suspicion everywhere; another crash prolongs it several times.
//
//   const std::vector<PartHash> parts = {
//       HashOfRequest({caller, target, body}), HashOfPart("system-prompt")};
//   PoisonParts poison;
//   poison.OnCrash(now, {.run = run, .begun = true, .parts = parts});
//   poison.OnAnswer(now, parts);          // A call's first event arrived.
//   if (poison.Find(now, parts)) { ... }  // Refuse the call.
//
// Designed for a few such parts a day, each in several requests a second that
// reach any of hundreds of instances and are otherwise all different.
#ifndef OLEANDER_POISON_PARTS_H_
#define OLEANDER_POISON_PARTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

// Identifies a part of a prompt, or a whole request, on all instances.
using PartHash = uint64_t;
PartHash HashOfPart(std::string_view id);
// Returns the hash of a whole request: of all that is the same when its caller
// sends it again.
PartHash HashOfRequest(std::initializer_list<std::string_view> fields);
// Returns whether the hash is that of a whole request.
bool IsRequest(PartHash part);
// Identifies one run of a server: a later start under the same id is another.
uint64_t HashOfServerRun(const ServerId& server, int64_t started_ms);

struct PoisonPartsOptions {
  // Server runs that crash under a part before it is suspected, and before a
  // call that was lost with its server isn't sent to another one.
  int min_crashes = 3;
  int min_crashes_to_stop_retries = 2;
  // A part that was answered on within this time before a crash isn't blamed.
  Duration answer_trust = std::chrono::seconds(2);
  // How long a crash counts if no part is suspected of it, and how long an
  // answer is remembered.
  Duration crash_lifetime = std::chrono::minutes(2);
  Duration answer_lifetime = std::chrono::seconds(30);
  // How long a suspicion holds after the last crash, and how many times longer
  // after each further round of crashes.
  Duration hold = std::chrono::seconds(15);
  int hold_growth = 4;
  Duration max_hold = std::chrono::hours(1);
  // The same with weak evidence, with which the suspicion may be wrong: no
  // answer had begun in any of the crashes, or another part is blamed for
  // nearly all of them, too, and the request lacks that part.
  Duration weak_hold = std::chrono::seconds(1);
  Duration max_weak_hold = std::chrono::seconds(4);
  // Crashes further apart than this belong to different rounds.
  Duration round_gap = std::chrono::seconds(3);
  // After the hold, one instance may try a request; each time this passes while
  // requests arrive, twice as many may.
  Duration trial_step = std::chrono::seconds(2);
  Duration weak_trial_step = std::chrono::milliseconds(250);
  // A trial without a result is forgotten after this time.
  Duration trial_timeout = std::chrono::seconds(5);
  // Requests no longer arrive if an instance gets none for this long, times the
  // number of instances.
  Duration pause_per_instance = std::chrono::milliseconds(500);
  // How long peers are told of a crash or of an answer.
  Duration announce_time = std::chrono::seconds(10);
};

// One run of a server that ended `age` ago, with the calls that had no event
// yet: their requests, and the parts that other prompts may share.
struct ServerCrash {
  uint64_t run = 0;
  bool begun = false;  // The heads of the answers to these calls had arrived.
  std::vector<PartHash> parts;
  Duration age{};
};

// A part that was last answered on `age` ago.
struct AnsweredPart {
  PartHash part = 0;
  Duration age{};
};

// Evidence that instances exchange.
struct CrashNews {
  std::vector<ServerCrash> crashes;
  std::vector<AnsweredPart> answered;

  bool empty() const { return crashes.empty() && answered.empty(); }
};

// Why a call is refused.
struct Suspicion {
  PartHash part = 0;
  int crashes = 0;  // Server runs that crashed under the part.
  Duration last_crash_age{};
  Duration retry_after{};  // Until a call with the part may be admitted.
};

// A part that became suspected, or is no longer.
struct SuspicionChange {
  PartHash part = 0;
  bool suspected = false;
  int crashes = 0;
};

class PoisonParts {
 public:
  explicit PoisonParts(PoisonPartsOptions options = {}) : options_(options) {}

  // Sets the live instances, this one included, which take turns in trials.
  void SetInstances(std::vector<InstanceId> live, InstanceId self);

  // Records that a call of this instance was lost with its server before its
  // first event. Returns whether this is new evidence.
  bool OnCrash(Time now, const ServerCrash& crash);
  // Records the first event of an answer to a call with these parts.
  void OnAnswer(Time now, const std::vector<PartHash>& parts);
  // Records that a call with these parts is sent to a server, or was refused.
  void OnSent(Time now, const std::vector<PartHash>& parts);
  void OnRefused(Time now, const std::vector<PartHash>& parts);

  // Returns the suspicion for which a call with these parts must be refused, if
  // there is one.
  std::optional<Suspicion> Find(Time now,
                                const std::vector<PartHash>& parts) const;
  // Returns whether a call that was lost with its server may be sent to another
  // one.
  bool MayRetry(Time now, const std::vector<PartHash>& parts) const;

  // Returns what peers need to know.
  CrashNews News(Time now) const;
  void OnPeerNews(Time now, const CrashNews& news);

  // Returns the changes since the last call.
  std::vector<SuspicionChange> TakeChanges();
  bool IsSuspected(PartHash part) const;
  size_t suspected_requests() const;
  size_t suspected_parts() const {
    return suspects_.size() - suspected_requests();
  }

 private:
  struct Crash {
    Time at;
    Time learned_at;
    bool local = false;  // This instance lost a call in it.
    bool begun = false;
    std::vector<PartHash> parts;
  };
  struct Suspect {
    PartHash part = 0;
    std::vector<uint64_t> runs;  // Server runs that it ended, in order.
    std::vector<Time> crashes;   // When each of them ended.
    // A whole request, or an answer had begun in at least one of the crashes.
    bool strong = false;
    int rounds = 1;
    // Other parts that nearly the same crashes are evidence against.
    std::vector<PartHash> rivals;
  };
  // What this instance did with requests for a suspect after its hold.
  struct Trial {
    std::optional<Time> sent_at = std::nullopt;
    std::optional<Time> refused_since = std::nullopt;  // Without a pause.
    Time refused_at{};
  };
  // An answer that peers are told of.
  struct Exoneration {
    Time until;       // Peers are told until then.
    int crashes = 0;  // That the part was blamed for.
  };
  using Crashes = absl::flat_hash_map<uint64_t, Crash>;
  using BlameCounts = absl::flat_hash_map<PartHash, int>;

  // When the part was last answered on, if that is remembered.
  std::optional<Time> AnsweredAt(PartHash part) const;
  void RememberAnswer(PartHash part, Time at);
  // Returns whether an answer shows that the part didn't cause the crash.
  bool IsTrusted(PartHash part, Time crash_at) const;
  // Adds to the evidence of a crash. Returns whether any of it is new.
  bool AddCrash(Time now, const ServerCrash& report, bool local);
  // Lets peers know of an answer on a part that they may blame for as many
  // crashes.
  void Announce(Time now, PartHash part, int crashes);
  // Returns the number of crashes that are blamed on the part.
  int BlameOf(PartHash part) const;
  // Records an answer. Returns whether a crash was blamed on the part until
  // now.
  bool Exonerate(PartHash part, Time answered_at);
  void DropOldCrashes(Time now);
  void DropOldAnswers(Time now);

  // Derives the suspects from the crashes, after these have changed.
  void UpdateSuspects();
  // Returns the whole requests that more than one server crashed under.
  std::vector<Suspect> RepeatedRequests() const;
  // Returns the runs without those that one of the requests ended, except the
  // first one that it ended.
  std::vector<uint64_t> WithoutRepeats(
      std::vector<uint64_t> runs, const std::vector<Suspect>& requests) const;
  // Reports the differences between `suspects_` and its new value.
  void NoteChanges(const std::vector<Suspect>& suspects);
  // Returns the suspect with those of the crashes that are blamed on the part.
  Suspect Explain(PartHash part, const std::vector<uint64_t>& runs) const;
  // Returns the part of a prompt that most of the crashes are blamed on, and
  // their number.
  std::pair<PartHash, int> MostBlamed(const std::vector<uint64_t>& runs) const;
  BlameCounts CountBlame(const std::vector<uint64_t>& runs) const;
  std::vector<uint64_t> AllRuns() const;
  // Returns whether the crash is needed to go on suspecting a part.
  bool IsEvidenceOfSuspect(Time now, const Crash& crash) const;
  // Returns the answers that contradict what peers may believe, the most
  // important ones first.
  std::vector<AnsweredPart> AnswersInNews(Time now) const;
  // Returns the last crashes that the suspect explains, blamed on it alone.
  std::vector<ServerCrash> EvidenceAgainst(Time now,
                                           const Suspect& suspect) const;

  Time HeldUntil(const Suspect& suspect, bool weak) const;
  // Returns whether only weak evidence is against a call with these parts.
  static bool IsWeak(const Suspect& suspect,
                     const std::vector<PartHash>& parts);
  bool IsTrialDue(Time now, const Suspect& suspect, Time held_until) const;
  // Returns for how long requests for the suspect have been refused after its
  // hold.
  Duration WaitedForTrial(Time now, const Suspect& suspect,
                          Time held_until) const;
  Duration MaxPause() const;
  // Returns how many live instances take their turn before this one.
  size_t TurnOf(const Suspect& suspect) const;

  PoisonPartsOptions options_;
  std::vector<InstanceId> live_;
  InstanceId self_;
  Crashes crashes_;  // By server run.
  absl::flat_hash_map<PartHash, Time> answered_;
  // Nearly all requests differ, so an answered one is only remembered until
  // another takes its place.
  static constexpr size_t kRememberedRequests = 1024;
  struct AnsweredRequest {
    PartHash request = 0;
    Time at;
  };
  std::array<AnsweredRequest, kRememberedRequests> answered_requests_ = {};
  // Parts that peers may blame though they were answered on.
  absl::flat_hash_map<PartHash, Exoneration> exonerated_;
  absl::flat_hash_map<PartHash, Trial> trials_;
  BlameCounts blamed_;  // Crashes blamed on each part.
  std::vector<Suspect> suspects_;
  std::vector<SuspicionChange> changes_;
};

}  // namespace oleander

#endif  // OLEANDER_POISON_PARTS_H_
