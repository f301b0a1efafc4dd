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
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.frame.Datagrams;
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
 * The duty that keeps a process's view of members and rules, the same in every daemon.
 *
 * <p>It owns a {@link MembershipDecider} and a {@link ConfigurationDecider}, which meet in one
 * place: the highest version of the rules travels on probes.
 */
public final class ControlPlane implements Service, Datagrams.Listener {

  private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);
  private static final int RING = 4_096;
  private static final long TICK_MILLIS = 100;
  private static final long VIEW_MILLIS = 200;

  /** The whole view is copied after changes, and seldom without: at 10,000 members it is long. */
  private static final long REFRESH_MILLIS = 5_000;

  private static final long LIST_MILLIS = 10_000;

  /** Keeps the whole fleet's reads of the list at 50 a second. */
  private static final long LIST_MILLIS_PER_MEMBER = 20;

  private final MembershipDecider members;
  private final ConfigurationDecider configuration;
  private final String id;
  private final TableClient table;
  private final Datagrams datagrams;
  private final FrameClient client;
  private final ControlListener listener;
  private final LongSupplier clock;
  private final Duty<Runnable> duty;
  private volatile List<Member> view = List.of();
  private volatile List<ControlMessage.MembershipUpdate> rumours = List.of();
  private volatile ControlMessage.RulesText rulesText = new ControlMessage.RulesText(0, "", "");
  private long nextList;
  private long nextView;
  private boolean viewStale = true;

  /**
   * Creates the duty.
   *
   * @param settings who and where this process is
   * @param self what it says of itself
   * @param table client of the table service
   * @param codec binds messages
   * @param listener learns of members and rules
   * @param clock monotonic milliseconds
   * @param seed seed of the random choices
   * @param metrics registry for the duty's metrics
   * @param fatal receives broken invariants
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
    this.members = new MembershipDecider(self, settings.seeds(), seed);
    this.configuration = new ConfigurationDecider(seed);
    this.id = settings.id();
    this.table = table;
    this.listener = listener;
    this.clock = clock;
    this.datagrams = new Datagrams(settings.host(), settings.port(), codec, this, metrics);
    this.client = new FrameClient(settings.id(), codec, new PeerAnswers());
    this.duty =
        new Duty<>(
            "control",
            RING,
            Overflow.DROP,
            TICK_MILLIS,
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
    metrics.register("members.count", (Gauge<Integer>) () -> view.size());
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
    client.close();
  }

  /** Returns the members alive or suspected as of the last tick; safe from any thread. */
  public List<Member> view() {
    return view;
  }

  /** Returns version and text of the rules in force; safe from any thread. */
  public ControlMessage.RulesText rulesText() {
    return rulesText;
  }

  /** Changes what this process says of itself. */
  public void announce(UnaryOperator<Member> change) {
    duty.offer(() -> execute(members.announce(change.apply(members.self()))));
  }

  /** Says goodbye. */
  public void leave() {
    duty.offer(() -> execute(members.leave(clock.getAsLong())));
  }

  /**
   * Answers a control message that came in on a frame connection.
   *
   * @return the answer, if the message asks for one
   */
  public Optional<Message> answer(Message message) {
    if (message instanceof ControlMessage.MembersRequest m) {
      duty.offer(() -> execute(members.onMembersRequest(clock.getAsLong(), m.sender())));
      return Optional.of(new ControlMessage.Members(rumours));
    }
    if (message instanceof ControlMessage.RulesRequest m) {
      ControlMessage.RulesText text = rulesText;
      return text.version() > m.afterVersion() ? Optional.of(text) : Optional.empty();
    }
    if (message instanceof ControlMessage.VersionRequest) {
      return Optional.of(new ControlMessage.VersionReport(id, rulesText.version()));
    }
    return Optional.empty();
  }

  @Override
  public void received(String address, Message message) {
    duty.offer(() -> handleDatagram(address, message));
  }

  private void handleDatagram(String address, Message message) {
    long now = clock.getAsLong();
    if (message instanceof ControlMessage.Ping m) {
      execute(members.onPing(now, address, m));
      heard(now, m.rulesVersion(), address);
    } else if (message instanceof ControlMessage.Ack m) {
      execute(members.onAck(now, m));
      heard(now, m.rulesVersion(), address);
    } else if (message instanceof ControlMessage.PingRequest m) {
      execute(members.onPingRequest(now, address, m));
    }
  }

  private void heard(long now, long version, String address) {
    executeAll(configuration.onPeerVersion(now, version, address));
  }

  private void tick() {
    long now = clock.getAsLong();
    execute(members.tick(now));
    executeAll(configuration.tick(now, members.cachedMemberCount()));
    boolean due = now >= nextView + REFRESH_MILLIS;
    if (due || viewStale && now >= nextView) {
      nextView = now + VIEW_MILLIS;
      refreshView();
    }
    if (now >= nextList) {
      nextList = now + Math.max(LIST_MILLIS, members.cachedMemberCount() * LIST_MILLIS_PER_MEMBER);
      table.listAddresses().subscribe(this::listed);
    }
  }

  private void refreshView() {
    viewStale = false;
    view = List.copyOf(members.members());
    rumours = members.snapshot();
    listener.viewed(view, members.unreachableRegions());
  }

  private void listed(Either<Failure, List<String>> addresses) {
    if (addresses.isRight()) {
      duty.offer(() -> members.addSeeds(addresses.get()));
    }
  }

  private void execute(List<MembershipEffect> effects) {
    for (MembershipEffect e : effects) {
      if (e instanceof MembershipEffect.SendDatagram d) {
        datagrams.send(d.address(), d.message());
      } else if (e instanceof MembershipEffect.RequestMembers a) {
        client.send(a.address(), new ControlMessage.MembersRequest(members.self()));
      } else if (e instanceof MembershipEffect.MemberChanged c) {
        viewStale = true;
        listener.memberChanged(c.member(), c.health());
      } else if (e instanceof MembershipEffect.RegionReachabilityChanged r) {
        viewStale = true;
        DecisionLog.write(
            new Decision(
                "region",
                r.region(),
                "",
                List.of(),
                r.reachable() ? "reachable" : "unreachable",
                "share of suspected members",
                configuration.rules().version()));
      }
    }
  }

  private void executeAll(List<ConfigurationEffect> effects) {
    for (ConfigurationEffect e : effects) {
      if (e instanceof ConfigurationEffect.ReadHead) {
        table.read(ConfigurationRecord.HEAD).subscribe(this::headRead);
      } else if (e instanceof ConfigurationEffect.ReadVersion r) {
        table.read(ConfigurationRecord.key(r.version())).subscribe(this::versionRead);
      } else if (e instanceof ConfigurationEffect.FetchFromPeer p) {
        client.send(p.address(), new ControlMessage.RulesRequest(p.aboveVersion()));
      } else if (e instanceof ConfigurationEffect.Adopt a) {
        adopt(a);
      } else if (e instanceof ConfigurationEffect.Reject r) {
        LOG.error("rules version {} cannot be read: {}", r.version(), r.reason());
      }
    }
  }

  private void adopt(ConfigurationEffect.Adopt a) {
    rulesText = new ControlMessage.RulesText(a.rules().version(), a.digest(), a.text());
    members.setRulesVersion(a.rules().version());
    listener.rulesAdopted(a.rules());
    refreshView();
    LOG.info("rules version {} in force", a.rules().version());
  }

  private void headRead(Either<Failure, Optional<TableRow>> row) {
    if (row.isLeft() || row.get().isEmpty()) {
      return;
    }
    long version = Long.parseLong(row.get().get().value());
    duty.offer(() -> executeAll(configuration.onHeadVersion(clock.getAsLong(), version)));
  }

  private void versionRead(Either<Failure, Optional<TableRow>> row) {
    if (row.isLeft() || row.get().isEmpty()) {
      duty.offer(() -> executeAll(configuration.onFetchFailure(clock.getAsLong())));
      return;
    }
    Either<Failure, ConfigurationRecord> parsed =
        ConfigurationRecord.parse(row.get().get().value());
    if (parsed.isRight()) {
      ConfigurationRecord c = parsed.get();
      takeRules(new ControlMessage.RulesText(c.version(), c.digest(), c.text()));
    }
  }

  private void takeRules(ControlMessage.RulesText m) {
    duty.offer(
        () ->
            executeAll(
                configuration.onRulesText(clock.getAsLong(), m.version(), m.text(), m.digest())));
  }

  /** Handles what peers answer to questions of this process. */
  private final class PeerAnswers implements FrameClient.Listener {

    @Override
    public void received(String address, Message message) {
      if (message instanceof ControlMessage.Members m) {
        duty.offer(() -> execute(members.mergeSnapshot(clock.getAsLong(), m.updates())));
      } else if (message instanceof ControlMessage.RulesText m) {
        takeRules(m);
      }
    }

    @Override
    public void lost(String address) {}

    @Override
    public void undelivered(String address, Message message) {
      if (message instanceof ControlMessage.RulesRequest) {
        duty.offer(() -> executeAll(configuration.onFetchFailure(clock.getAsLong())));
      }
    }
  }
}
