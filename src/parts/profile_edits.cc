// ProfileStore: operators' edits. An edit reads the current entry and replaces
// it by compare-and-swap, in one transaction with its audit record.
//
// A write whose answer was lost may still take effect later. The same
// compare-and-swap is therefore sent again: at most one of the writes succeeds,
// and the edit id in the stored value shows whether it was this edit's. If
// another edit is the current one by then, the audit records show whether this
// edit took effect before it.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "oleander/result_code.h"
#include "parts/profiles_impl.h"

namespace oleander {
namespace {

std::optional<StoreEntry> FirstOf(const std::vector<StoreEntry>& entries) {
  return entries.empty() ? std::nullopt : std::optional(entries.front());
}

// Returns the parsed value, or an empty one if there is none or it is invalid.
ProfileValue ValueIn(const std::optional<StoreEntry>& entry) {
  if (!entry.has_value()) {
    return {};
  }
  return DecodeProfileValue(entry->value).value_or(ProfileValue());
}

int64_t RevisionIn(const std::optional<StoreEntry>& entry) {
  return entry.has_value() ? entry->mod_revision : 0;
}

absl::Status CheckEdit(const ProfileEdit& edit, size_t max_bytes) {
  if (edit.remove) {
    return absl::OkStatus();
  }
  if (edit.document.size() > max_bytes) {
    return MakeError(
        ResultCode::kProfileTooLarge,
        fmt::format("The document of profile \"{}\" has {} bytes; the limit "
                    "is {}.",
                    edit.name.value(), edit.document.size(), max_bytes));
  }
  const auto profile = ParseProfile(edit.document, edit.name.value());
  if (!profile.ok()) {
    return profile.status();
  }
  if (profile->name != edit.name) {
    return MakeError(ResultCode::kProfileInvalid,
                     fmt::format("{}: name: found \"{}\", expected \"{}\".",
                                 edit.name.value(), profile->name.value(),
                                 edit.name.value()));
  }
  return absl::OkStatus();
}

}  // namespace

void ProfileStore::Impl::Edit(const ProfileEdit& edit, Time now) {
  if (edits_.contains(edit.edit_id)) {
    return;  // The edit is in progress; its EditDone answers both calls.
  }
  if (absl::Status status = CheckEdit(edit, options_.max_value_bytes);
      !status.ok()) {
    actions_.emplace_back(EditDone{.edit_id = edit.edit_id, .status = status});
    return;
  }
  PendingEdit& pending = edits_[edit.edit_id];
  pending.edit = edit;
  pending.deadline = now + options_.edit_timeout;
  pending.record = {.profile = edit.name,
                    .edit_id = edit.edit_id,
                    .who = edit.who,
                    .through = self_.id,
                    .when = edit.when,
                    .reason = edit.reason,
                    .deleted = edit.remove};
  ReadBase(pending);
}

void ProfileStore::Impl::ReadBase(PendingEdit& edit) {
  edit.phase = EditPhase::kReading;
  edit.call = NextCall();
  SendStoreRequest(StoreRange{
      .call = edit.call, .key = KeyOf(edit.edit.name), .prefix = false});
}

void ProfileStore::Impl::OnEditRead(
    PendingEdit& edit, const absl::StatusOr<StoreRangeAnswer>& answer,
    Time now) {
  edit.call = 0;
  if (!answer.ok()) {
    edit.next_try = now + Jittered(options_.edit_retry_interval);
    return;
  }
  switch (edit.phase) {
    case EditPhase::kReading:
      OnBaseRead(edit, FirstOf(answer->entries));
      return;
    case EditPhase::kResolving:
      OnOutcomeRead(edit, FirstOf(answer->entries), now);
      return;
    case EditPhase::kSearchingAudit:
      OnAuditRead(edit, *answer);
      return;
    case EditPhase::kWriting:
      return;
  }
}

void ProfileStore::Impl::OnBaseRead(PendingEdit& edit,
                                    std::optional<StoreEntry> current) {
  const ProfileValue value = ValueIn(current);
  if (value.edit_id == edit.edit.edit_id) {
    Apply(RevisionOf(*current), InstanceId());
    Accept(edit, current->mod_revision);
    return;
  }
  edit.base = std::move(current);
  const bool conflict =
      edit.edit.base.has_value() && *edit.edit.base != RevisionIn(edit.base);
  if (conflict) {
    // An earlier attempt of the same edit may have taken effect and then been
    // replaced.
    SearchAudit(edit);
    return;
  }
  edit.record.from_revision = RevisionIn(edit.base);
  edit.record.differences =
      DifferencesOf(value.deleted ? "" : value.document, edit.edit.document);
  ShortenToFit(edit.record, options_.max_value_bytes);
  Write(edit);
}

void ProfileStore::Impl::Write(PendingEdit& edit) {
  edit.phase = EditPhase::kWriting;
  edit.call = NextCall();
  const std::string key = KeyOf(edit.edit.name);
  const int64_t version = edit.base.has_value() ? edit.base->version + 1 : 1;
  SendStoreRequest(StoreCas{
      .call = edit.call,
      .compares = {{.key = key, .mod_revision = RevisionIn(edit.base)}},
      .puts = {{.key = key, .value = ValueOf(edit)},
               {.key = AuditKey(edit.edit.name, version),
                .value = EncodeAuditRecord(edit.record)},
               {.key = options_.head_key, .value = edit.edit.name.value()}},
      .deletes = {}});
}

void ProfileStore::Impl::OnCas(StoreCall call,
                               const absl::StatusOr<StoreCasAnswer>& answer,
                               Time now) {
  if (answer.ok()) {
    store_last_reply_ = now;
  }
  if (PendingEdit* edit = FindEdit(call)) {
    OnEditCas(*edit, answer, now);
  }
}

void ProfileStore::Impl::OnEditCas(PendingEdit& edit,
                                   const absl::StatusOr<StoreCasAnswer>& answer,
                                   Time now) {
  edit.call = 0;
  if (!answer.ok()) {
    // If the request was not sent, the write is retried; otherwise its outcome
    // must be found out first.
    const bool sent = DetailsOf(answer.status()).ran != Ran::kNo;
    edit.answer_lost = edit.answer_lost || sent;
    edit.phase = sent ? EditPhase::kResolving : EditPhase::kWriting;
    edit.next_try = now + Jittered(options_.edit_retry_interval);
    return;
  }
  if (answer->succeeded) {
    Apply({.name = edit.edit.name,
           .revision = answer->revision,
           .version = edit.base.has_value() ? edit.base->version + 1 : 1,
           .value = ValueOf(edit)},
          InstanceId());
    Accept(edit, answer->revision);
    return;
  }
  OnOutcomeRead(edit, FirstOf(answer->current), now);
}

void ProfileStore::Impl::ReadOutcome(PendingEdit& edit) {
  edit.phase = EditPhase::kResolving;
  edit.call = NextCall();
  SendStoreRequest(StoreRange{
      .call = edit.call, .key = KeyOf(edit.edit.name), .prefix = false});
}

void ProfileStore::Impl::OnOutcomeRead(PendingEdit& edit,
                                       std::optional<StoreEntry> current,
                                       Time now) {
  const ProfileValue value = ValueIn(current);
  if (value.edit_id == edit.edit.edit_id) {
    Apply(RevisionOf(*current), InstanceId());
    Accept(edit, current->mod_revision);
    return;
  }
  if (RevisionIn(current) == RevisionIn(edit.base)) {
    // The write has not taken effect yet, but may do so later: send it again.
    edit.phase = EditPhase::kWriting;
    edit.next_try = now + Jittered(options_.edit_retry_interval);
    return;
  }
  edit.base = std::move(current);
  SearchAudit(edit);
}

void ProfileStore::Impl::SearchAudit(PendingEdit& edit) {
  edit.phase = EditPhase::kSearchingAudit;
  edit.call = NextCall();
  SendStoreRequest(StoreRange{
      .call = edit.call, .key = AuditPrefix(edit.edit.name), .prefix = true});
}

void ProfileStore::Impl::OnAuditRead(PendingEdit& edit,
                                     const StoreRangeAnswer& answer) {
  const std::vector<AuditRecord> records = AuditRecordsOf(answer.entries);
  const auto accepted =
      std::ranges::find_if(records, [&](const AuditRecord& record) {
        return record.edit_id == edit.edit.edit_id &&
               record.outcome == AuditOutcome::kAccepted;
      });
  if (accepted != records.end()) {
    Accept(edit, accepted->to_revision);
    return;
  }
  if (!edit.edit.base.has_value()) {
    // The edit may replace any revision; another edit took effect first, so
    // start again from the new one.
    ReadBase(edit);
    return;
  }
  Conflict(edit, edit.base);
}

void ProfileStore::Impl::TickEdits(Time now) {
  std::vector<std::string> due;
  for (const auto& [id, edit] : edits_) {
    if (now >= std::min(edit.next_try, edit.deadline)) {
      due.push_back(id);
    }
  }
  for (const std::string& id : due) {
    PendingEdit& edit = edits_.at(id);
    if (now < edit.deadline) {
      RetryEdit(edit);
      continue;
    }
    const bool unknown = edit.answer_lost ||
                         (edit.phase == EditPhase::kWriting && edit.call != 0);
    const ResultCode code =
        unknown ? ResultCode::kStoreAnswerLost : ResultCode::kProfileStoreDown;
    const std::string_view outcome =
        unknown ? "may have taken effect; send it again with the same edit id "
                  "to find out"
                : "has not taken effect";
    FinishEdit(
        edit,
        {.edit_id = id,
         .status = MakeError(
             code, fmt::format("The key-value service did not answer in time. "
                               "The edit \"{}\" of profile \"{}\" {}.",
                               id, edit.edit.name.value(), outcome))});
  }
}

void ProfileStore::Impl::RetryEdit(PendingEdit& edit) {
  edit.next_try = Time::max();
  switch (edit.phase) {
    case EditPhase::kReading:
      ReadBase(edit);
      return;
    case EditPhase::kWriting:
      Write(edit);
      return;
    case EditPhase::kResolving:
      ReadOutcome(edit);
      return;
    case EditPhase::kSearchingAudit:
      SearchAudit(edit);
      return;
  }
}

void ProfileStore::Impl::Accept(PendingEdit& edit, int64_t revision) {
  edit.record.to_revision = revision;
  FinishEdit(edit, {.edit_id = edit.edit.edit_id,
                    .status = absl::OkStatus(),
                    .revision = revision});
}

void ProfileStore::Impl::Conflict(PendingEdit& edit,
                                  const std::optional<StoreEntry>& current) {
  edit.record.outcome = AuditOutcome::kConflict;
  edit.record.from_revision = edit.edit.base.value_or(0);
  edit.record.to_revision = 0;
  edit.record.differences.clear();
  SendStoreRequest(StoreCas{
      .call = NextCall(),
      .compares = {},
      .puts = {{.key = RefusedAuditKey(edit.edit.name, edit.edit.edit_id),
                .value = EncodeAuditRecord(edit.record)}},
      .deletes = {}});
  const ProfileValue value = ValueIn(current);
  const int64_t revision = RevisionIn(current);
  FinishEdit(
      edit,
      {.edit_id = edit.edit.edit_id,
       .status = MakeError(
           ResultCode::kProfileConflict,
           fmt::format("Profile \"{}\" is at revision {}, written by \"{}\"; "
                       "the edit \"{}\" is based on revision {}.",
                       edit.edit.name.value(), revision, value.who,
                       edit.edit.edit_id, edit.edit.base.value_or(0))),
       .revision = revision,
       .current_document = value.document});
}

void ProfileStore::Impl::FinishEdit(PendingEdit& edit, EditDone done) {
  done.record = edit.record;
  const std::string id = edit.edit.edit_id;
  actions_.emplace_back(std::move(done));
  edits_.erase(id);
}

ProfileStore::Impl::PendingEdit* ProfileStore::Impl::FindEdit(StoreCall call) {
  const auto found = std::ranges::find_if(
      edits_, [&](const auto& item) { return item.second.call == call; });
  return call == 0 || found == edits_.end() ? nullptr : &found->second;
}

std::string ProfileStore::Impl::ValueOf(const PendingEdit& edit) const {
  return EncodeProfileValue({.edit_id = edit.edit.edit_id,
                             .who = edit.edit.who,
                             .when = edit.edit.when,
                             .reason = edit.edit.reason,
                             .deleted = edit.edit.remove,
                             .document = edit.edit.document});
}

}  // namespace oleander
