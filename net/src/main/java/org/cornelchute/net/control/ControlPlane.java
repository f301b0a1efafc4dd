package org.cornelchute.net.control;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.cornelchute.core.duty.Duty;
import org.cornelchute.core.duty.Overflow;
import org.cornelchute.core.kernel.Service;
import org.cornelchute.core.log.Decision;
import org.cornelchute.core.log.DecisionLog;
import org.cornelchute.core.log.LogLimiter;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.frame.DatagramTransport;
import org.cornelchute.net.frame.FrameClient;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.platform.ConfigurationRecord;
import org.cornelchute.net.platform.TableClient;
import org.cornelchute.net.platform.TableRow;
import org.cornelchute.policy.configuration.ConfigurationDecider;
import org.cornelchute.policy.configuration.ConfigurationEffect;
import org.cornelchute.policy.membership.MembershipDecider;
import org.cornelchute.policy.membership.MembershipEffect;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains a process's view of the members and of the rules in force. Entries and agents run the
 * same control plane.
 *
 * <p>Its duty owns a {@link MembershipDecider} and a {@link ConfigurationDecider}. The probes of
 * the first inform the second: each probe carries the rules version in force at its sender, and a
 * newer version is fetched from there.
 */
public final class ControlPlane implements Service, DatagramTransport.Listener {

  private static final long ISOLATION_LOG_DELAY_MILLIS = 5_000;
  private static final long ISOLATION_LOG_INTERVAL_MILLIS = 30_000;
  private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);
  private static final int RING_CAPACITY = 4_096;
  private static final long TICK_INTERVAL_MILLIS = 100;

  /** Minimum delay between a snapshot and the next one after changes. */
  private static final long VIEW_INTERVAL_MILLIS = 200;

  /**
   * Additional delay before a snapshot if nothing has changed. A snapshot copies the records of all
   * members, of which there may be 10,000.
   */
  private static final long UNCHANGED_VIEW_DELAY_MILLIS = 5_000;

  /** Minimum interval between two reads of the VM list by one process. */
  private static final long VM_LIST_INTERVAL_MILLIS = 10_000;

  /** Limits the reads of the VM list by all processes together to 50 per second. */
  private static final long VM_LIST_MILLIS_PER_MEMBER = 20;

  private final MembershipDecider membership;
  private final ConfigurationDecider configuration;
  private final String memberId;
  private final TableClient table;
  private final DatagramTransport datagrams;
  private final FrameClient frameClient;
  private final ControlListener listener;
  private final LongSupplier clock;
  private final Duty<Runnable> duty;

  /** Used by the threads of the client of the table service. */
  private final LogLimiter malformedRowLimiter = new LogLimiter();

  private volatile List<Member> memberSnapshot = List.of();
  private volatile List<ControlMessage.MembershipUpdate> gossipSnapshot = List.of();
  private volatile ControlMessage.RulesText rulesText = new ControlMessage.RulesText(0, "", "");
  private final List<String> seeds;
  private String vmListFailure = "";
  private long nextIsolationLogMillis;
  private long nextVmListMillis;
  private long nextViewMillis;
  private boolean viewStale = true;

  /**
   * Creates a control plane, which must be started.
   *
   * @param settings identity and addresses of this process
   * @param self record that announces this process to other members
   * @param table client of the table service and the VM list
   * @param codec encodes and decodes messages
   * @param listener receives changes of the members and the rules
   * @param clock monotonic clock in milliseconds
   * @param seed seed for the random choices of the deciders
   * @param metrics registry for the duty's metrics
   * @param fatal called if the duty fails with an unexpected exception
   */
  public ControlPlane(
      ControlSettings settings,
      Member self,
      TableClient table,
      MessageCodec codec,
      ControlListener listener,
      LongSupplier clock,
      long seed,
      MetricRegistry metrics,
      Duty.FatalHandler fatal) {
    this.membership = new MembershipDecider(self, settings.seeds(), seed);
    this.configuration = new ConfigurationDecider(seed);
    this.memberId = settings.id();
    this.seeds = settings.seeds();
    this.nextIsolationLogMillis = clock.getAsLong() + ISOLATION_LOG_DELAY_MILLIS;
    this.table = table;
    this.listener = listener;
    this.clock = clock;
    this.datagrams = new DatagramTransport(settings.host(), settings.port(), codec, this, metrics);
    this.frameClient = new FrameClient(settings.id(), codec, new PeerAnswers());
    this.duty =
        new Duty<>(
            "control",
            RING_CAPACITY,
            Overflow.DROP,
            TICK_INTERVAL_MILLIS,
            new Duty.Handler<>() {
              @Override
              public void handle(Runnable message) {
                message.run();
              }

              @Override
              public void tick() {
                ControlPlane.this.tick();
              }
            },
            metrics,
            fatal);
    metrics.register("rules.version", (Gauge<Long>) () -> rulesText.version());
    metrics.register("members.count", (Gauge<Integer>) () -> memberSnapshot.size());
  }

  @Override
  public void start() {
    datagrams.start();
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
    datagrams.close();
    frameClient.close();
  }

  /** Returns the members that were alive or suspected at the last snapshot. Thread-safe. */
  public List<Member> memberSnapshot() {
    return memberSnapshot;
  }

  /** Returns version, digest and text of the rules in force. Thread-safe. */
  public ControlMessage.RulesText rulesText() {
    return rulesText;
  }

  /** Replaces the record of this process and gossips it. */
  public void announce(UnaryOperator<Member> change) {
    duty.offer(
        () -> executeMembershipEffects(membership.announce(change.apply(membership.self()))));
  }

  /** Announces to the other members that this process is leaving. */
  public void leave() {
    duty.offer(() -> executeMembershipEffects(membership.leave(clock.getAsLong())));
  }

  /**
   * Handles a control message from a frame connection.
   *
   * @return the answer, or empty if there is nothing to answer
   */
  public Optional<Message> answer(Message message) {
    if (message instanceof ControlMessage.MembersRequest request) {
      duty.offer(
          () ->
              executeMembershipEffects(
                  membership.onMembersRequest(clock.getAsLong(), request.sender())));
      return Optional.of(new ControlMessage.Members(gossipSnapshot));
    }
    if (message instanceof ControlMessage.RulesRequest request) {
      ControlMessage.RulesText text = rulesText;
      return text.version() > request.afterVersion() ? Optional.of(text) : Optional.empty();
    }
    if (message instanceof ControlMessage.VersionRequest) {
      return Optional.of(new ControlMessage.VersionReport(memberId, rulesText.version()));
    }
    return Optional.empty();
  }

  @Override
  public void onMessage(String address, Message message) {
    duty.offer(() -> handleDatagram(address, message));
  }

  private void handleDatagram(String address, Message message) {
    long now = clock.getAsLong();
    if (message instanceof ControlMessage.Ping ping) {
      executeMembershipEffects(membership.onPing(now, address, ping));
      handlePeerRulesVersion(now, ping.rulesVersion(), address);
    } else if (message instanceof ControlMessage.Ack ack) {
      executeMembershipEffects(membership.onAck(now, ack));
      handlePeerRulesVersion(now, ack.rulesVersion(), address);
    } else if (message instanceof ControlMessage.PingRequest request) {
      executeMembershipEffects(membership.onPingRequest(now, address, request));
    }
  }

  private void handlePeerRulesVersion(long now, long version, String address) {
    executeConfigurationEffects(configuration.onPeerVersion(now, version, address));
  }

  private void tick() {
    long now = clock.getAsLong();
    executeMembershipEffects(membership.tick(now));
    executeConfigurationEffects(configuration.tick(now, membership.cachedMemberCount()));
    boolean due = now >= nextViewMillis + UNCHANGED_VIEW_DELAY_MILLIS;
    if (due || viewStale && now >= nextViewMillis) {
      nextViewMillis = now + VIEW_INTERVAL_MILLIS;
      refreshView();
    }
    if (now >= nextVmListMillis) {
      nextVmListMillis =
          now
              + Math.max(
                  VM_LIST_INTERVAL_MILLIS,
                  membership.cachedMemberCount() * VM_LIST_MILLIS_PER_MEMBER);
      table.listAddresses().subscribe(this::handleVmList);
    }
    if (now >= nextIsolationLogMillis) {
      nextIsolationLogMillis = now + ISOLATION_LOG_INTERVAL_MILLIS;
      logIfIsolated();
    }
  }

  /** Logs that this process has met no other member, which serves no calls. */
  private void logIfIsolated() {
    if (membership.cachedMemberCount() <= 1) {
      LOG.warn(
          "no other member found yet, will go on to look for one seeds={} vmListFailure=\"{}\"",
          seeds,
          vmListFailure);
    }
  }

  private void refreshView() {
    viewStale = false;
    memberSnapshot = List.copyOf(membership.members());
    gossipSnapshot = membership.snapshot();
    listener.onViewRefresh(memberSnapshot, membership.unreachableRegions());
  }

  private void handleVmList(Either<Failure, List<String>> addresses) {
    duty.offer(
        () -> {
          vmListFailure = addresses.isLeft() ? addresses.getLeft().message() : "";
          if (addresses.isRight()) {
            membership.addSeeds(addresses.get());
          }
        });
  }

  private void executeMembershipEffects(List<MembershipEffect> effects) {
    for (MembershipEffect effect : effects) {
      if (effect instanceof MembershipEffect.SendDatagram send) {
        datagrams.send(send.address(), send.message());
      } else if (effect instanceof MembershipEffect.RequestMembers request) {
        frameClient.send(request.address(), new ControlMessage.MembersRequest(membership.self()));
      } else if (effect instanceof MembershipEffect.MemberChanged change) {
        viewStale = true;
        listener.onMemberChange(change.member(), change.health());
      } else if (effect instanceof MembershipEffect.RegionReachabilityChanged reachability) {
        viewStale = true;
        DecisionLog.write(
            new Decision(
                "region",
                reachability.region(),
                "",
                List.of(),
                reachability.reachable() ? "reachable" : "unreachable",
                "share of suspected members",
                configuration.rules().version()));
      }
    }
  }

  private void executeConfigurationEffects(List<ConfigurationEffect> effects) {
    for (ConfigurationEffect effect : effects) {
      if (effect instanceof ConfigurationEffect.ReadHead) {
        table.read(ConfigurationRecord.HEAD_KEY).subscribe(this::handleHeadRow);
      } else if (effect instanceof ConfigurationEffect.ReadVersion read) {
        table
            .read(ConfigurationRecord.key(read.version()))
            .subscribe(row -> handleVersionRow(read.version(), row));
      } else if (effect instanceof ConfigurationEffect.FetchFromPeer fetch) {
        frameClient.send(fetch.address(), new ControlMessage.RulesRequest(fetch.aboveVersion()));
      } else if (effect instanceof ConfigurationEffect.Adopt adoption) {
        adopt(adoption);
      } else if (effect instanceof ConfigurationEffect.Reject rejection) {
        LOG.error(
            "rules version {} rejected, the version in force is kept: {}",
            rejection.version(),
            rejection.reason());
      }
    }
  }

  private void adopt(ConfigurationEffect.Adopt adoption) {
    rulesText =
        new ControlMessage.RulesText(
            adoption.rules().version(), adoption.digest(), adoption.text());
    membership.setRulesVersion(adoption.rules().version());
    listener.onRulesAdopted(adoption.rules());
    refreshView();
    LOG.info("rules version {} in force", adoption.rules().version());
  }

  private void handleHeadRow(Either<Failure, Optional<TableRow>> row) {
    if (row.isLeft() || row.get().isEmpty()) {
      return;
    }
    Optional<Long> version = ConfigurationRecord.parseHead(row.get().get().value());
    if (version.isEmpty()) {
      logMalformedRow(ConfigurationRecord.HEAD_KEY, "not a version number");
      return;
    }
    duty.offer(
        () ->
            executeConfigurationEffects(
                configuration.onHeadVersion(clock.getAsLong(), version.get())));
  }

  private void handleVersionRow(long version, Either<Failure, Optional<TableRow>> row) {
    if (row.isLeft() || row.get().isEmpty()) {
      duty.offer(
          () -> executeConfigurationEffects(configuration.onFetchFailure(clock.getAsLong())));
      return;
    }
    Either<Failure, ConfigurationRecord> parsed =
        ConfigurationRecord.parse(version, row.get().get().value());
    if (parsed.isLeft()) {
      logMalformedRow(ConfigurationRecord.key(version), parsed.getLeft().message());
      return;
    }
    ConfigurationRecord record = parsed.get();
    submitRulesText(new ControlMessage.RulesText(record.version(), record.digest(), record.text()));
  }

  private void logMalformedRow(String key, String cause) {
    malformedRowLimiter.log(
        suppressed ->
            LOG.warn(
                "rules not read, will be retried key={} cause={} suppressed={}",
                key,
                cause,
                suppressed));
  }

  private void submitRulesText(ControlMessage.RulesText fetched) {
    duty.offer(
        () ->
            executeConfigurationEffects(
                configuration.onRulesText(
                    clock.getAsLong(), fetched.version(), fetched.text(), fetched.digest())));
  }

  /** Handles the answers of peers to requests of this process. */
  private final class PeerAnswers implements FrameClient.Listener {

    @Override
    public void onMessage(String address, Message message) {
      if (message instanceof ControlMessage.Members answer) {
        duty.offer(
            () ->
                executeMembershipEffects(
                    membership.mergeSnapshot(clock.getAsLong(), answer.updates())));
      } else if (message instanceof ControlMessage.RulesText answer) {
        submitRulesText(answer);
      }
    }

    @Override
    public void onDisconnect(String address) {}

    @Override
    public void onUndelivered(String address, Message message) {
      if (message instanceof ControlMessage.RulesRequest) {
        duty.offer(
            () -> executeConfigurationEffects(configuration.onFetchFailure(clock.getAsLong())));
      }
    }
  }
}
