#include <parsleyplank/core/log.hpp>
#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/edge/usage_control.hpp>
#include <parsleyplank/edge/usage_meter.hpp>
#include <parsleyplank/edge/usage_store.hpp>

#include <algorithm>
#include <iterator>
#include <log4cplus/loggingmacros.h>

namespace parsleyplank::edge
{

namespace
{

// First byte of an encoded usage message, an array of six. Digests have more
// fields.
constexpr char message_tag = '\x96';

// Time after which the last batch number of a sender is forgotten. It sends a
// batch again for seconds at most.
constexpr milliseconds sender_retention{60'000};

time_point now()
{
    return std::chrono::steady_clock::now();
}

store::http_settings caller_settings(const usage_settings& settings)
{
    store::http_settings where;
    where.address = settings.platform.address;
    where.port = settings.platform.port;
    where.content_type = "application/json";
    // Bodies of responses are not used.
    constexpr std::size_t max_response_bytes = 65'536;
    where.max_response_bytes = max_response_bytes;
    return where;
}

usage::duty_options duty_options_for(const usage_settings& settings,
                                     milliseconds lease_ttl)
{
    usage::duty_options options;
    options.lease_ttl = lease_ttl;
    options.lease_margin = lease_ttl / 8 + settings.thaw;
    options.claim_pause = settings.lease + settings.thaw;
    return options;
}

usage::report_options report_options_for(const usage_settings& settings)
{
    usage::report_options options;
    options.window_length = settings.window;
    options.late = settings.late;
    return options;
}

// Counts pass up to three instances, each of which sends at the interval.
milliseconds closing_delay(milliseconds send_interval, milliseconds late)
{
    constexpr int quarters_of_intervals = 13;
    constexpr int max_percent_of_late = 65;
    return std::min(send_interval * quarters_of_intervals / 4,
                    late * max_percent_of_late / 100);
}

} // namespace

bool is_usage_message(std::string_view datagram)
{
    return !datagram.empty() && datagram.front() == message_tag;
}

usage_control::usage_control(const settings& config, const adapter& adapted,
                             std::uint64_t process_start,
                             milliseconds lease_ttl, usage_links to,
                             telemetry::metrics& metrics)
    : platform(adapted), self(config.id), started_ms(process_start),
      links(std::move(to)), counters(metrics), log(component_logger("usage")),
      caller(caller_settings(config.usage))
{
    duty.self = self;
    duty.started_ms = started_ms;
    duty.options = duty_options_for(config.usage, lease_ttl);
    // When many instances start at once, they first hear of each other.
    duty.claim_not_before = boot_now() + duty.options.candidate_delay * 2;
    ledger.options = report_options_for(config.usage);
    usage::observe_clocks(clock, boot_now(), unix_now());
}

bool usage_control::is_holder() const
{
    return duty.held.has_value();
}

usage::unix_time usage_control::wall() const
{
    return usage::wall_at(clock, boot_now());
}

void usage_control::log_lost(std::string_view reason) const
{
    LOG4CPLUS_WARN(log, "event=usage_duty_lost reason=" << reason);
}

void usage_control::step(const usage_surroundings& around,
                         const usage::window_counts& counted)
{
    usage::observe_clocks(clock, boot_now(), unix_now());
    const auto interval = usage_send_interval(around.live.size() + 1);
    ledger.options.closing_delay = closing_delay(interval, ledger.options.late);
    usage::add_counts(sender.pending, counted);
    if (is_holder())
        report();
    else
        claim_if_due(around);
    // A draining instance has little time left.
    if (around.draining || now() - last_sent >= interval * 3 / 4 || sender.open)
        hand_over(around);
    forget_old_windows();
    report_metrics();
}

void usage_control::forget_old_windows()
{
    const auto& options = ledger.options;
    const auto first =
        usage::window_at(std::max(wall() - options.late, usage::unix_time(0)),
                         options.window_length);
    usage::forget_before(sender, first);
    usage::forget_senders(receiver, sender_retention, now());
}

void usage_control::report_metrics()
{
    const auto set = [this](const char* name, auto value)
    {
        counters.set(name, "", "", static_cast<double>(value));
    };
    set("usage_duty_held", is_holder() ? 1 : 0);
    set("usage_reports_accepted", accepted);
    set("usage_reports_missed", missed);
    set("usage_requests_late", late_requests);
    set("usage_windows_pending", sender.pending.size());
}

void usage_control::apply_entry(const store::entry& it)
{
    if (it.key == usage_holder_key() && !precedes_claim(it.key_revision))
        note_holder(unpack_value<usage::holder_record>(it.value, it.key));
}

void usage_control::note_holder(const usage::holder_record& record)
{
    if (usage::note_record(duty, record, boot_now()))
        log_lost("another_holder");
    // What the former holder was told is due at once.
    if (record.token > sender.told_token)
        last_sent = {};
    usage::set_holder(sender, record.token, record.inherits);
}

bool usage_control::precedes_claim(revision seen) const
{
    return is_holder() && seen < duty.held_revision;
}

void usage_control::apply_removal(const std::string& key, revision seen)
{
    if (key == usage_holder_key() && !precedes_claim(seen) &&
        usage::note_absent_record(duty, boot_now()))
        log_lost("record_removed");
}

void usage_control::apply_listing(bool has_holder, revision seen)
{
    if (!has_holder)
        apply_removal(usage_holder_key(), seen);
}

void usage_control::note_restored_store()
{
    restored_at = wall();
    if (usage::end_duty(duty, boot_now()))
        log_lost("store_restored");
}

void usage_control::leave()
{
    if (!is_holder())
        return;
    // Nothing is added to the sums after this, and what arises here goes to the
    // next holder.
    LOG4CPLUS_INFO(log, "event=usage_duty_left token=" << duty.held->value);
    links.submit([holder = duty.held_revision,
                  sums = usage::sums_record{*duty.held, inherited,
                                            usage::unwritten_sums(ledger)}](
                     store::lease_store& store)
                 { leave_duty(store, holder, sums); });
    usage::end_duty(duty, boot_now());
}

void usage_control::note_renewal(boot_time began, bool new_lease)
{
    usage::note_renewal(duty, began);
    if (new_lease && usage::end_duty(duty, boot_now()))
        log_lost("lease_ended");
}

void usage_control::claim_if_due(const usage_surroundings& around)
{
    if (claim_pending || around.draining || !around.criteria.store_reachable)
        return;
    std::vector<instance_id> candidates{self};
    // Only instances that reach the store can claim. The order is needed only
    // while there is no record.
    if (!duty.current)
        for (const auto* it : around.live)
            if (it->digest.store_reachable)
                candidates.push_back(it->record.id);
    const auto order = rendezvous_order("usage holder", candidates);
    const auto rank = static_cast<std::size_t>(std::ranges::find(order, self) -
                                               order.begin());
    if (usage::should_claim(duty, rank, boot_now()))
        submit_claim();
}

void usage_control::submit_claim()
{
    claim_pending = links.submit(
        [this, lease = links.lease, state = duty](store::lease_store& store)
        {
            const auto end = [this](store::list_result keys)
            {
                links.post(
                    [this, keys = std::move(keys)]
                    {
                        claim_pending = false;
                        end_claim(keys);
                    });
            };
            try
            {
                end(claim_duty(store, *lease, state, unix_now()));
            }
            catch (const error&)
            {
                end({});
                throw;
            }
        });
}

void usage_control::end_claim(const store::list_result& keys)
{
    const auto found = read_usage_keys(keys);
    if (!found.holder)
        return;
    if (!usage::may_adopt(duty, *found.holder))
    {
        note_holder(*found.holder);
        return;
    }
    usage::begin_duty(duty, *found.holder, found.holder_revision);
    inherited = found.holder->inherits;
    usage::set_holder(sender, found.holder->token, found.holder->inherits);
    usage::begin_reports(ledger, found.reports, wall(), found.left.sums);
    if (restored_at)
        usage::skip_unrecorded(ledger, *restored_at);
    LOG4CPLUS_INFO(log, "event=usage_duty_taken token="
                            << found.holder->token.value
                            << " first_window=" << ledger.first.value
                            << " stored_reports=" << found.reports.size()
                            << " left_windows=" << found.left.sums.size()
                            << " store_restored=" << restored_at.has_value());
}

void usage_control::report()
{
    late_requests += usage::add_to_sums(ledger, usage::tell_self(sender));
    log_late_counts();
    for (const auto& window : usage::step_reports(ledger, wall()))
    {
        ++missed;
        LOG4CPLUS_WARN(log,
                       "event=usage_report_missed window=" << window.value);
    }
    if (const auto* closed = usage::next_write(ledger);
        closed != nullptr && !write_pending)
        write_report(closed->report);
    call_if_due();
}

void usage_control::call_if_due()
{
    const auto* due = usage::next_call(ledger, wall());
    if (due != nullptr && !call_pending)
        call_platform(*due);
}

void usage_control::write_report(const usage::window_report& closed)
{
    write_pending = links.submit(
        [this, closed, holder = duty.held_revision,
         place = usage::report_place(closed.window, ledger.options)](
            store::lease_store& store)
        {
            const auto end = [&](std::optional<usage::window_report> stored)
            {
                links.post(
                    [this, window = closed.window, stored = std::move(stored)]
                    { end_write(stored, window); });
            };
            try
            {
                end(store_report(store, place, holder, closed));
            }
            catch (const error&)
            {
                end(std::nullopt);
                throw;
            }
        });
}

void usage_control::end_write(const std::optional<usage::window_report>& stored,
                              usage::window_id wanted)
{
    write_pending = false;
    if (!stored)
        return;
    if (stored->window != wanted)
    {
        // The place has the report of a later window.
        usage::note_done(ledger, wanted);
        return;
    }
    usage::note_written(ledger, *stored);
    std::int64_t requests = 0;
    for (const auto& [customer, count] : stored->counts)
        requests += count;
    LOG4CPLUS_INFO(log, "event=usage_report_written window="
                            << wanted.value
                            << " customers=" << stored->counts.size()
                            << " requests=" << requests);
    // A report of a window that ended long ago may be almost late.
    call_if_due();
}

void usage_control::call_platform(const usage::report_state& due)
{
    const auto until = usage::may_act_until(duty);
    if (!until || boot_now() >= *until)
        return;
    const auto token = *duty.held;
    const auto window = due.report.window;
    call_pending = caller.call(
        platform.encode_usage_report(self, token, due.report), *until,
        [this, token, window](const usage_call_result& result)
        {
            links.post([this, token, window, result]
                       { end_call(token, window, result); });
        });
    if (call_pending)
        usage::note_call(ledger, window, wall());
}

void usage_control::end_call(usage::fence_token token, usage::window_id window,
                             const usage_call_result& result)
{
    call_pending = false;
    const auto log_line = [&](std::string_view outcome)
    {
        LOG4CPLUS_INFO(log, "event=usage_report outcome="
                                << outcome << " window=" << window.value
                                << " token=" << token.value
                                << " status=" << result.status << " detail=\""
                                << result.detail << '"');
    };
    switch (platform.judge_usage_response(result.status))
    {
    case usage_verdict::accepted:
        ++accepted;
        usage::note_done(ledger, window);
        log_line("accepted");
        break;
    case usage_verdict::fenced:
        usage::note_refused(duty, token, boot_now());
        log_line("fenced");
        log_lost("fenced");
        break;
    case usage_verdict::failed:
        log_line("failed");
        break;
    case usage_verdict::rejected:
        usage::note_done(ledger, window);
        log_line("rejected");
        break;
    }
}

void usage_control::hand_over(const usage_surroundings& around)
{
    last_sent = now();
    if (is_holder() && !sender.open)
        return;
    const auto holder =
        duty.current ? std::optional(duty.current->holder) : std::nullopt;
    const auto to = is_holder() ? std::nullopt
                                : next_usage_hop(around.fleet, around.live,
                                                 around.criteria, holder);
    const bool gone =
        sender.open &&
        std::ranges::none_of(around.live, [&](const peer_state* it)
                             { return it->record.id == sender.open->to; });
    const auto* batch = usage::next_batch(sender, to, gone, now());
    if (batch == nullptr)
        return;
    const auto peer = around.fleet.peers.find(batch->to);
    if (peer != around.fleet.peers.end())
        send(peer->second.record, {self, started_ms, batch->number, false,
                                   usage::fence_token(0), batch->changes});
}

void usage_control::send(const member_record& to,
                         const usage::usage_message& message)
{
    links.send(to, pack_value(message));
}

void usage_control::receive(std::string_view datagram,
                            const usage_surroundings& around)
{
    const auto message =
        unpack_value<usage::usage_message>(datagram, "usage message");
    const auto peer = around.fleet.peers.find(message.sender);
    if (peer == around.fleet.peers.end())
        return;
    if (!message.is_acknowledgement)
    {
        take_batch(message, peer->second, around.draining);
        return;
    }
    const bool has_more = sender.open && sender.open->has_more;
    if (usage::acknowledge(sender, message.sender, message.number,
                           message.token) &&
        has_more)
        hand_over(around);
}

void usage_control::take_batch(const usage::usage_message& batch,
                               const peer_state& from, bool draining)
{
    auto token = usage::find_received(receiver, batch);
    if (!token)
    {
        // A draining instance may end before it has handed the counts over, and
        // one that is about to begin the duty would keep them as its own.
        const bool begins = !is_holder() && duty.current &&
                            usage::may_adopt(duty, *duty.current);
        if (draining || begins)
            return;
        token = duty.held.value_or(usage::fence_token(0));
        if (!usage::record_received(receiver, batch, *token, now()))
            return;
        usage::window_counts counts;
        for (const auto& it : batch.changes)
            usage::add_count(counts, it.window, it.customer, it.change);
        if (is_holder())
            late_requests += usage::add_to_sums(ledger, counts);
        else
            usage::add_counts(sender.pending, counts);
    }
    send(from.record, {self, started_ms, batch.number, true, *token, {}});
}

void usage_control::log_late_counts()
{
    const auto requests = late_requests - logged_late_requests;
    if (requests == 0)
        return;
    logged_late_requests = late_requests;
    LOG4CPLUS_WARN(log, "event=usage_counts_late requests=" << requests);
}

} // namespace parsleyplank::edge
