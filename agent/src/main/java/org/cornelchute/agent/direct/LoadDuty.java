package org.cornelchute.agent.direct;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.agent.WeightsDuty;
import org.cornelchute.core.log.DecisionLog;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.forward.WeightsSwitch;
import org.cornelchute.policy.util.RendezvousHash;
import org.cornelchute.policy.weights.LoadDecider;
import org.cornelchute.policy.weights.LoadDecider.Engine;
import org.cornelchute.policy.weights.LoadEffect;
import org.cornelchute.policy.weights.Manifest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out what the {@link LoadDecider} decides; lives on the event loop. */
final class LoadDuty implements AgentPlatformListener, WeightsDuty.Listener {

  private static final Logger LOG = LoggerFactory.getLogger(LoadDuty.class);
  private static final long INITIAL_VERSION = 1;
  private static final long POLL_INTERVAL_MILLIS = 120;
  private static final long IDLE_POLL_INTERVAL_MILLIS = 700;
  private static final long MANIFEST_RETRY_DELAY_MILLIS = 250;

  /** Chunks on their way to or from the engine's store at once. */
  private static final int MAX_CONCURRENT_CHUNKS = 4;

  private final EventLoop loop;
  private final AgentPlatform platform;
  private final LoadDecider decider;
  private final LongSupplier clockMillis;
  private final String self;
  private final String region;
  private final Map<Long, Manifest> manifestByVersion = new HashMap<>();
  private WeightsDuty weightsDuty;
  private String model = "";
  private Collection<Member> agents = List.of();
  private long newestCompleteVersion;
  private boolean engineReachable;

  LoadDuty(
      EventLoop loop,
      AgentPlatform platform,
      LoadDecider decider,
      LongSupplier clock,
      String self,
      String region) {
    this.loop = loop;
    this.platform = platform;
    this.decider = decider;
    this.clockMillis = clock;
    this.self = self;
    this.region = region;
  }

  void setWeightsDuty(WeightsDuty duty) {
    weightsDuty = duty;
  }

  void start() {
    pollEngine();
  }

  // Views

  @Override
  public void onModelConfigured(String name) {
    if (model.isEmpty()) {
      model = name;
      execute(decider.onVersionAssigned(clockMillis.getAsLong(), INITIAL_VERSION));
    }
  }

  @Override
  public void onVersionAssigned(String name, long version) {
    if (model.isEmpty()) {
      model = name;
    }
    if (name.equals(model)) {
      execute(decider.onVersionAssigned(clockMillis.getAsLong(), version));
    }
  }

  @Override
  public void onAgentsChanged(Collection<Member> all) {
    agents = List.copyOf(all);
    Set<String> ids = new HashSet<>();
    List<String> near = new ArrayList<>();
    for (Member m : all) {
      ids.add(m.id());
      if (m.region().equals(region)) {
        near.add(m.id());
      }
    }
    // Odd numbers of agents in a region put more into one half; not the same one everywhere.
    int shift = Math.floorMod(region.hashCode(), 2);
    decider.setRank(Math.max(0, RendezvousHash.order(model, near).indexOf(self)) + shift);
    weightsDuty.updateMembers(agents, ids);
  }

  @Override
  public void onVersionComplete(Manifest manifest) {
    loop.execute(
        () -> {
          long version = Long.parseLong(manifest.version());
          LOG.info("weights whole version={} digest={}", version, manifest.digest());
          newestCompleteVersion = Math.max(newestCompleteVersion, version);
          execute(decider.onVersionComplete(clockMillis.getAsLong(), version));
        });
  }

  @Override
  public void onManifestSuspect(Manifest manifest) {
    loop.execute(
        () -> {
          LOG.warn("chunks do not verify, reading the manifest again digest={}", manifest.digest());
          fetchManifest(Long.parseLong(manifest.version()));
        });
  }

  // Effects

  private void execute(List<LoadEffect> effects) {
    for (LoadEffect e : effects) {
      if (e instanceof LoadEffect.Fetch f) {
        fetchManifest(f.version());
      } else if (e instanceof LoadEffect.Drop d) {
        Manifest known = manifestByVersion.remove(d.version());
        if (known != null) {
          weightsDuty.dropVersion(known);
        }
      } else if (e instanceof LoadEffect.AnnounceSwitch a) {
        announce(a.version());
      } else if (e instanceof LoadEffect.AnnounceLoaded l) {
        announce(l.version());
      } else if (e instanceof LoadEffect.Stage s) {
        stage(s);
      } else if (e instanceof LoadEffect.StartLoad o) {
        startLoad(o);
      } else if (e instanceof LoadEffect.Log l) {
        DecisionLog.write(l.decision());
      }
    }
  }

  /** Tells entries that the engine changes over to a version, or has done so. */
  private void announce(long version) {
    Engine e = decider.engine();
    platform.announce(new WeightsSwitch(e.startMillis(), version, e.version()));
  }

  private void fetchManifest(long version) {
    if (!decider.isNeeded(version)) {
      return;
    }
    platform
        .origin()
        .readManifest(
            model,
            version,
            r -> {
              if (r.isRight()) {
                startFetch(version, r.get());
                return;
              }
              LOG.warn("manifest failed version={} cause={}", version, r.getLeft().message());
              loop.schedule(
                  () -> fetchManifest(version), MANIFEST_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            });
  }

  private void startFetch(long version, Manifest manifest) {
    if (!decider.isNeeded(version) || manifest.equals(manifestByVersion.get(version))) {
      return;
    }
    manifestByVersion.put(version, manifest);
    manifestByVersion.keySet().removeIf(v -> !decider.isNeeded(v));
    weightsDuty.startFetch(manifest);
    if (decider.engine().version() == version) {
      recoverChunksFromEngine(manifest);
    }
  }

  /** Takes over what the engine beside has in its store already. */
  private void recoverChunksFromEngine(Manifest manifest) {
    new ChunkBatch(manifest.chunks().size()) {
      @Override
      void processChunk(int chunk) {
        platform
            .engine()
            .readChunk(
                model,
                chunk,
                r -> {
                  r.peek(bytes -> weightsDuty.addLocalChunk(manifest, chunk, bytes));
                  onChunkProcessed(r.isRight());
                });
      }

      @Override
      void onAllProcessed(boolean all) {
        LOG.info("read back version={} all={}", manifest.version(), all);
      }
    }.start();
  }

  private void stage(LoadEffect.Stage s) {
    Manifest manifest = manifestByVersion.get(s.version());
    if (manifest == null) {
      LOG.warn("staging given up, manifest forgotten version={}", s.version());
      execute(decider.onStagingResult(clockMillis.getAsLong(), s.stagingId(), false));
      return;
    }
    weightsDuty.withCompleteVersion(
        manifest.digest(), chunks -> loop.execute(() -> writeChunks(manifest, s, chunks)));
  }

  private void writeChunks(Manifest manifest, LoadEffect.Stage s, List<byte[]> chunks) {
    new ChunkBatch(chunks.size()) {
      @Override
      void processChunk(int chunk) {
        platform
            .engine()
            .writeChunk(model, chunk, chunks.get(chunk), r -> onChunkProcessed(r.isRight()));
      }

      @Override
      void onAllProcessed(boolean all) {
        if (all) {
          verifyChunks(manifest, s);
        } else {
          LOG.warn("staging failed version={}", s.version());
          execute(decider.onStagingResult(clockMillis.getAsLong(), s.stagingId(), false));
        }
      }
    }.start();
  }

  private void verifyChunks(Manifest manifest, LoadEffect.Stage s) {
    new ChunkBatch(manifest.chunks().size()) {
      @Override
      void processChunk(int chunk) {
        platform
            .engine()
            .readChunk(
                model,
                chunk,
                r -> onChunkProcessed(r.isRight() && manifest.verifies(chunk, r.get())));
      }

      @Override
      void onAllProcessed(boolean all) {
        if (!all) {
          LOG.warn("staged chunks do not verify version={}", s.version());
        }
        execute(decider.onStagingResult(clockMillis.getAsLong(), s.stagingId(), all));
      }
    }.start();
  }

  private void startLoad(LoadEffect.StartLoad o) {
    platform
        .engine()
        .startLoad(
            model,
            o.version(),
            o.sequence(),
            r -> {
              LOG.info(
                  "order answered version={} result={}",
                  o.version(),
                  r.fold(Failure::message, b -> b ? "accepted" : "refused"));
              execute(decider.onLoadResponse(clockMillis.getAsLong(), r.getOrElse(false)));
            });
  }

  // Periodic work

  private void pollEngine() {
    if (model.isEmpty()) {
      loop.schedule(this::pollEngine, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    platform
        .engine()
        .queryState(
            model,
            r -> {
              handleEngineReport(r);
              boolean calm = decider.engine().version() == decider.targetVersion();
              loop.schedule(
                  this::pollEngine,
                  calm ? IDLE_POLL_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS,
                  TimeUnit.MILLISECONDS);
            });
  }

  private void handleEngineReport(Either<Failure, Engine> r) {
    Engine seen = r.getOrElse(Engine.UNREACHABLE);
    Engine before = decider.engine();
    if (seen.reachable() != engineReachable || seen.version() != before.version()) {
      engineReachable = seen.reachable();
      LOG.info("engine {} cause={}", seen, r.fold(Failure::message, e -> "report"));
    }
    boolean first = !before.reachable() && seen.reachable();
    execute(decider.onEngineReport(clockMillis.getAsLong(), seen));
    Manifest held = manifestByVersion.get(seen.version());
    if (first && held != null && newestCompleteVersion < seen.version()) {
      recoverChunksFromEngine(held);
    }
  }

  /** Does one step for each chunk, a few at a time, and then says whether all of them succeeded. */
  private abstract static class ChunkBatch {

    private final int chunkCount;
    private int nextChunk;
    private int processedCount;
    private boolean allSucceeded = true;

    ChunkBatch(int count) {
      this.chunkCount = count;
    }

    abstract void processChunk(int chunk);

    abstract void onAllProcessed(boolean all);

    void start() {
      for (int i = 0; i < Math.min(MAX_CONCURRENT_CHUNKS, chunkCount); i++) {
        processChunk(nextChunk++);
      }
    }

    void onChunkProcessed(boolean good) {
      allSucceeded &= good;
      processedCount++;
      if (processedCount == chunkCount) {
        onAllProcessed(allSucceeded);
      } else if (nextChunk < chunkCount) {
        processChunk(nextChunk++);
      }
    }
  }
}
