package org.cornelchute.agent;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cornelchute.core.duty.Duty;
import org.cornelchute.core.duty.Overflow;
import org.cornelchute.core.kernel.Service;
import org.cornelchute.core.log.DecisionLog;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.SwarmMessage;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.frame.FrameClient;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.util.LinkLimiter;
import org.cornelchute.policy.weights.Manifest;
import org.cornelchute.policy.weights.SwarmDecider;
import org.cornelchute.policy.weights.SwarmEffect;
import org.cornelchute.policy.weights.SwarmOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * The duty that fetches, verifies, keeps and hands on weights.
 *
 * <p>Chunks are verified before they are kept, so that a version counts as held only when every
 * chunk matches its digest. The newest two versions are kept: the one being fetched, and the one
 * before, from which unchanged chunks are reused and which others may still be fetching.
 */
public final class WeightsDuty implements Service {

  private static final Logger LOG = LoggerFactory.getLogger(WeightsDuty.class);
  private static final int RING = 1 << 14;
  private static final long TICK_MILLIS = 50;
  private static final int SPOILT_BEFORE_DOUBT = 3;
  private static final int VERSIONS_KEPT = 2;
  private static final long PROGRESS_MILLIS = 1_000;

  private final Place place;
  private final ChunkSource origin;
  private final LongSupplier clock;
  private final long seed;
  private final Listener listener;
  private final FrameClient client;
  private final Duty<Runnable> duty;
  private final LinkLimiter up;
  private final LinkLimiter down;
  private final Scheduler timer = Schedulers.newSingle("link", true);
  private final Map<String, HeldVersion> versions = new LinkedHashMap<>();
  private final Map<String, String> peerByAddress = new ConcurrentHashMap<>();
  private final Meter fromOrigin;
  private final Meter fromPeers;
  private final Meter corrupt;
  private volatile int heldChunks;
  private volatile int allChunks;
  private Collection<Member> members = List.of();
  private Set<String> assigned = Set.of();
  private String newest = "";
  private long progressLogged;

  /**
   * Creates a duty; {@link #start()} starts its thread.
   *
   * @param place who and where the agent is, and its limits
   * @param origin where chunks are read that no other agent has
   * @param seed seed of the random choices
   */
  public WeightsDuty(
      Place place,
      MessageCodec codec,
      ChunkSource origin,
      LongSupplier clock,
      long seed,
      Listener listener,
      MetricRegistry metrics,
      Duty.FatalHandler fatal) {
    this.place = place;
    this.origin = origin;
    this.clock = clock;
    this.seed = seed;
    this.listener = listener;
    this.client = new FrameClient(place.id(), codec, new PeerAnswers());
    this.up = new LinkLimiter(place.linkBytesPerSecond());
    this.down = new LinkLimiter(place.linkIsLimited() ? 0 : place.linkBytesPerSecond());
    this.fromOrigin = metrics.meter("weights.origin.bytes");
    this.fromPeers = metrics.meter("weights.peer.bytes");
    this.corrupt = metrics.meter("weights.corrupt.chunks");
    metrics.register("weights.chunks.held", (Gauge<Integer>) () -> heldChunks);
    metrics.register("weights.chunks.all", (Gauge<Integer>) () -> allChunks);
    this.duty =
        new Duty<>(
            "weights",
            RING,
            Overflow.WAIT,
            TICK_MILLIS,
            new Duty.Handler<>() {
              @Override
              public void handle(Runnable message) {
                message.run();
              }

              @Override
              public void tick() {
                WeightsDuty.this.tick();
              }

              @Override
              public boolean isIdle() {
                return versions.values().stream().allMatch(v -> v.swarm.isComplete());
              }
            },
            metrics,
            fatal);
  }

  @Override
  public void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
    client.close();
    timer.dispose();
  }

  /** Starts to fetch a version. */
  public void begin(Manifest manifest) {
    duty.offer(() -> beginVersion(manifest));
  }

  /** Fetches a version no further and forgets its chunks. */
  public void drop(Manifest manifest) {
    duty.offer(() -> versions.remove(manifest.digest()));
  }

  /**
   * Takes the members, of which those count that want the same version.
   *
   * @param view members alive or suspected
   * @param sharing ids of members that are assigned the newest version too; placement is computed
   *     alike everywhere, so they are known before they say themselves what they want
   */
  public void viewed(Collection<Member> view, Set<String> sharing) {
    duty.offer(
        () -> {
          members = view;
          assigned = sharing;
          for (HeldVersion v : new ArrayList<>(versions.values())) {
            execute(v, v.swarm.onMembersChanged(clock.getAsLong(), wanting(v.manifest.digest())));
          }
        });
  }

  /** Hands a whole, verified version to a consumer; nothing happens if it is not whole. */
  public void withWhole(String digest, Consumer<List<byte[]>> consumer) {
    duty.offer(
        () -> {
          HeldVersion v = versions.get(digest);
          if (v != null && v.swarm.isComplete()) {
            consumer.accept(v.all());
          }
        });
  }

  /** Takes a chunk that was found on this VM; it counts only if it verifies and is missing. */
  public void found(Manifest manifest, int chunk, byte[] bytes) {
    duty.offer(
        () -> {
          HeldVersion v = versions.get(manifest.digest());
          if (v != null && v.chunks[chunk] == null && manifest.verifies(chunk, bytes)) {
            keep(v, "", chunk, 0, bytes);
          }
        });
  }

  /** Handles a message from another agent. */
  public void received(String from, SwarmMessage message) {
    if (message instanceof SwarmMessage.ChunkData c) {
      // The link's limit is kept by taking a chunk only when its bytes would have come through.
      after(down.reserve(c.bytes().length), () -> takeChunk(from, c));
      return;
    }
    duty.offer(
        () -> {
          HeldVersion v = versions.get(message.manifest());
          if (v != null) {
            execute(v, v.swarm.onMessage(clock.getAsLong(), from, message));
          }
        });
  }

  private void beginVersion(Manifest manifest) {
    newest = manifest.digest();
    if (versions.containsKey(manifest.digest())) {
      HeldVersion v = versions.remove(manifest.digest());
      versions.put(manifest.digest(), v);
      if (v.swarm.isComplete()) {
        listener.complete(manifest);
      }
      return;
    }
    HeldVersion v = new HeldVersion(manifest);
    BitSet held = new BitSet();
    for (HeldVersion old : versions.values()) {
      held = v.reuse(old);
    }
    if (!place.finishesSuperseded()) {
      // What was being fetched and is wanted no more must not be fetched to its end.
      versions.values().removeIf(old -> !old.swarm.isComplete());
    }
    v.swarm =
        new SwarmDecider(
            place.id(),
            place.region(),
            place.originRegion().get(),
            manifest,
            held,
            place.swarm(),
            seed,
            clock.getAsLong());
    versions.put(manifest.digest(), v);
    while (versions.size() > VERSIONS_KEPT) {
      Iterator<String> oldest = versions.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    execute(v, v.swarm.onMembersChanged(clock.getAsLong(), wanting(manifest.digest())));
  }

  private List<Member> wanting(String digest) {
    List<Member> wanting = new ArrayList<>();
    for (Member m : members) {
      boolean shared = digest.equals(newest) || place.finishesSuperseded();
      if (m.wants().equals(digest) || shared && assigned.contains(m.id())) {
        wanting.add(m);
      }
    }
    return wanting;
  }

  private void tick() {
    long now = clock.getAsLong();
    boolean due = now - progressLogged >= PROGRESS_MILLIS;
    for (HeldVersion v : new ArrayList<>(versions.values())) {
      if (due && !v.swarm.isComplete()) {
        progressLogged = now;
        LOG.info("weights under way version={} {}", v.manifest.version(), v.swarm.progress(now));
      }
      execute(v, v.swarm.tick(clock.getAsLong()));
      heldChunks = v.swarm.heldChunkCount();
      allChunks = v.chunks.length;
    }
  }

  private void execute(HeldVersion v, List<SwarmEffect> effects) {
    if (versions.get(v.manifest.digest()) != v) {
      return;
    }
    for (SwarmEffect e : effects) {
      if (e instanceof SwarmEffect.Send s) {
        send(s.peer(), s.address(), s.message());
      } else if (e instanceof SwarmEffect.Upload u) {
        upload(v, u);
      } else if (e instanceof SwarmEffect.FetchOrigin f) {
        fetch(v, f.chunk());
      } else if (e instanceof SwarmEffect.Complete) {
        listener.complete(v.manifest);
      } else if (e instanceof SwarmEffect.Log l) {
        DecisionLog.write(l.decision());
      }
    }
  }

  private void send(String peer, String address, Message message) {
    peerByAddress.put(address, peer);
    client.send(address, message);
  }

  private void upload(HeldVersion v, SwarmEffect.Upload u) {
    byte[] bytes = v.chunks[u.chunk()];
    after(
        up.reserve(bytes.length),
        () -> {
          int queued = v.swarm.queuedUploadCount();
          send(
              u.peer(),
              u.address(),
              new SwarmMessage.ChunkData(v.manifest.digest(), u.chunk(), queued, bytes));
          execute(v, v.swarm.onUploadCompleted(clock.getAsLong()));
        });
  }

  private void fetch(HeldVersion v, int chunk) {
    origin.read(
        v.manifest,
        chunk,
        r -> {
          if (r.isLeft()) {
            duty.offer(() -> execute(v, v.swarm.onOriginFailure(clock.getAsLong(), chunk)));
            return;
          }
          byte[] bytes = r.get();
          fromOrigin.mark(bytes.length);
          after(down.reserve(bytes.length), () -> keep(v, "", chunk, 0, bytes));
        });
  }

  private void takeChunk(String from, SwarmMessage.ChunkData c) {
    HeldVersion v = versions.get(c.manifest());
    if (v != null) {
      fromPeers.mark(c.bytes().length);
      keep(v, from, c.chunk(), c.queueLength(), c.bytes());
    }
  }

  private void keep(HeldVersion v, String from, int chunk, int queued, byte[] bytes) {
    boolean valid = v.manifest.verifies(chunk, bytes);
    if (!valid) {
      corrupt.mark();
      v.spoilt++;
      if (v.spoilt % SPOILT_BEFORE_DOUBT == 0) {
        listener.doubted(v.manifest);
      }
    } else if (v.chunks[chunk] == null) {
      v.chunks[chunk] = bytes;
    }
    execute(v, v.swarm.onChunk(clock.getAsLong(), from, chunk, queued, valid));
  }

  /** Runs a step on the duty after some nanoseconds. */
  private void after(long nanos, Runnable step) {
    if (nanos <= 0) {
      duty.offer(step);
    } else {
      timer.schedule(() -> duty.offer(step), nanos, TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Who and where an agent is.
   *
   * @param id member id
   * @param region region it stands in
   * @param originRegion region of the origin of weights, asked for when a version begins
   * @param linkBytesPerSecond rate of the VM's link each way, 0 for no limit
   * @param linkIsLimited whether the link itself keeps to its rate, so that what comes in needs no
   *     limit here
   * @param swarm limits of the exchange
   * @param finishesSuperseded whether a version is fetched to its end although a newer one is
   *     wanted, since each must be in force in its own time
   */
  public record Place(
      String id,
      String region,
      Supplier<String> originRegion,
      long linkBytesPerSecond,
      boolean linkIsLimited,
      SwarmOptions swarm,
      boolean finishesSuperseded) {}

  /** Reads chunks from outside the swarm. */
  public interface ChunkSource {

    /** Reads a chunk; the answer may come on any thread, exactly once. */
    void read(Manifest manifest, int chunk, Consumer<Either<Failure, byte[]>> answer);
  }

  /** Learns of whole versions; called on the duty's thread, must not block. */
  public interface Listener {

    /** Handles a version of which every chunk is held and verified. */
    void complete(Manifest manifest);

    /** Handles a version of which so many chunks did not verify that its manifest may be spoilt. */
    default void doubted(Manifest manifest) {}
  }

  /** Handles losses; agents answer over their own connections. */
  private final class PeerAnswers implements FrameClient.Listener {

    @Override
    public void received(String address, Message message) {}

    @Override
    public void lost(String address) {
      String peer = peerByAddress.getOrDefault(address, "");
      duty.offer(
          () -> {
            for (HeldVersion v : new ArrayList<>(versions.values())) {
              execute(v, v.swarm.onPeerLost(clock.getAsLong(), peer));
            }
          });
    }

    @Override
    public void undelivered(String address, Message message) {
      lost(address);
    }
  }
}
