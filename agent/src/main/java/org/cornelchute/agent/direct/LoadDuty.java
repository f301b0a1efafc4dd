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
final class LoadDuty implements AgentViews, WeightsDuty.Listener {

  private static final Logger LOG = LoggerFactory.getLogger(LoadDuty.class);
  private static final long FIRST_VERSION = 1;
  private static final long REPORT_MILLIS = 120;
  private static final long CALM_REPORT_MILLIS = 700;
  private static final long MANIFEST_RETRY_MILLIS = 250;

  /** Chunks on their way to or from the engine's store at once. */
  private static final int STAGING_WIDTH = 4;

  private final EventLoop loop;
  private final AgentPlatform platform;
  private final LoadDecider decider;
  private final LongSupplier clock;
  private final String self;
  private final String region;
  private final Map<Long, Manifest> manifests = new HashMap<>();
  private WeightsDuty weights;
  private String model = "";
  private Collection<Member> agents = List.of();
  private long wholeVersion;
  private boolean reachable;

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
    this.clock = clock;
    this.self = self;
    this.region = region;
  }

  void connect(WeightsDuty duty) {
    weights = duty;
  }

  void start() {
    report();
  }

  // Views

  @Override
  public void modelKnown(String name) {
    if (model.isEmpty()) {
      model = name;
      apply(decider.onVersionAssigned(clock.getAsLong(), FIRST_VERSION));
    }
  }

  @Override
  public void versionNamed(String name, long version) {
    if (model.isEmpty()) {
      model = name;
    }
    if (name.equals(model)) {
      apply(decider.onVersionAssigned(clock.getAsLong(), version));
    }
  }

  @Override
  public void agents(Collection<Member> all) {
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
    weights.viewed(agents, ids);
  }

  @Override
  public void complete(Manifest manifest) {
    loop.execute(
        () -> {
          long version = Long.parseLong(manifest.version());
          LOG.info("weights whole version={} digest={}", version, manifest.digest());
          wholeVersion = Math.max(wholeVersion, version);
          apply(decider.onVersionComplete(clock.getAsLong(), version));
        });
  }

  @Override
  public void doubted(Manifest manifest) {
    loop.execute(
        () -> {
          LOG.warn("chunks do not verify, reading the manifest again digest={}", manifest.digest());
          fetchManifest(Long.parseLong(manifest.version()));
        });
  }

  // Effects

  private void apply(List<LoadEffect> effects) {
    for (LoadEffect e : effects) {
      if (e instanceof LoadEffect.Fetch f) {
        fetchManifest(f.version());
      } else if (e instanceof LoadEffect.Drop d) {
        Manifest known = manifests.remove(d.version());
        if (known != null) {
          weights.drop(known);
        }
      } else if (e instanceof LoadEffect.AnnounceSwitch a) {
        announce(a.version());
      } else if (e instanceof LoadEffect.AnnounceLoaded l) {
        announce(l.version());
      } else if (e instanceof LoadEffect.Stage s) {
        stage(s);
      } else if (e instanceof LoadEffect.StartLoad o) {
        order(o);
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
        .manifest(
            model,
            version,
            r -> {
              if (r.isRight()) {
                begin(version, r.get());
                return;
              }
              LOG.warn("manifest failed version={} cause={}", version, r.getLeft().message());
              loop.schedule(
                  () -> fetchManifest(version), MANIFEST_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            });
  }

  private void begin(long version, Manifest manifest) {
    if (!decider.isNeeded(version) || manifest.equals(manifests.get(version))) {
      return;
    }
    manifests.put(version, manifest);
    manifests.keySet().removeIf(v -> !decider.isNeeded(v));
    weights.begin(manifest);
    if (decider.engine().version() == version) {
      readBack(manifest);
    }
  }

  /** Takes over what the engine beside has in its store already. */
  private void readBack(Manifest manifest) {
    new Sequence(manifest.chunks().size()) {
      @Override
      void step(int chunk) {
        platform
            .engine()
            .get(
                model,
                chunk,
                r -> {
                  r.peek(bytes -> weights.found(manifest, chunk, bytes));
                  done(r.isRight());
                });
      }

      @Override
      void finished(boolean all) {
        LOG.info("read back version={} all={}", manifest.version(), all);
      }
    }.run();
  }

  private void stage(LoadEffect.Stage s) {
    Manifest manifest = manifests.get(s.version());
    if (manifest == null) {
      LOG.warn("staging given up, manifest forgotten version={}", s.version());
      apply(decider.onStagingResult(clock.getAsLong(), s.stagingId(), false));
      return;
    }
    weights.withWhole(manifest.digest(), chunks -> loop.execute(() -> put(manifest, s, chunks)));
  }

  private void put(Manifest manifest, LoadEffect.Stage s, List<byte[]> chunks) {
    new Sequence(chunks.size()) {
      @Override
      void step(int chunk) {
        platform.engine().put(model, chunk, chunks.get(chunk), r -> done(r.isRight()));
      }

      @Override
      void finished(boolean all) {
        if (all) {
          verify(manifest, s);
        } else {
          LOG.warn("staging failed version={}", s.version());
          apply(decider.onStagingResult(clock.getAsLong(), s.stagingId(), false));
        }
      }
    }.run();
  }

  private void verify(Manifest manifest, LoadEffect.Stage s) {
    new Sequence(manifest.chunks().size()) {
      @Override
      void step(int chunk) {
        platform
            .engine()
            .get(model, chunk, r -> done(r.isRight() && manifest.verifies(chunk, r.get())));
      }

      @Override
      void finished(boolean all) {
        if (!all) {
          LOG.warn("staged chunks do not verify version={}", s.version());
        }
        apply(decider.onStagingResult(clock.getAsLong(), s.stagingId(), all));
      }
    }.run();
  }

  private void order(LoadEffect.StartLoad o) {
    platform
        .engine()
        .load(
            model,
            o.version(),
            o.sequence(),
            r -> {
              LOG.info(
                  "order answered version={} result={}",
                  o.version(),
                  r.fold(Failure::message, b -> b ? "accepted" : "refused"));
              apply(decider.onLoadResponse(clock.getAsLong(), r.getOrElse(false)));
            });
  }

  // Periodic work

  private void report() {
    if (model.isEmpty()) {
      loop.schedule(this::report, REPORT_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    platform
        .engine()
        .report(
            model,
            r -> {
              reported(r);
              boolean calm = decider.engine().version() == decider.targetVersion();
              loop.schedule(
                  this::report, calm ? CALM_REPORT_MILLIS : REPORT_MILLIS, TimeUnit.MILLISECONDS);
            });
  }

  private void reported(Either<Failure, Engine> r) {
    Engine seen = r.getOrElse(Engine.UNREACHABLE);
    Engine before = decider.engine();
    if (seen.reachable() != reachable || seen.version() != before.version()) {
      reachable = seen.reachable();
      LOG.info("engine {} cause={}", seen, r.fold(Failure::message, e -> "report"));
    }
    boolean first = !before.reachable() && seen.reachable();
    apply(decider.onEngineReport(clock.getAsLong(), seen));
    Manifest held = manifests.get(seen.version());
    if (first && held != null && wholeVersion < seen.version()) {
      readBack(held);
    }
  }

  /** Does one step for each chunk, a few at a time, and then says whether all of them succeeded. */
  private abstract static class Sequence {

    private final int count;
    private int next;
    private int ended;
    private boolean all = true;

    Sequence(int count) {
      this.count = count;
    }

    abstract void step(int chunk);

    abstract void finished(boolean all);

    void run() {
      for (int i = 0; i < Math.min(STAGING_WIDTH, count); i++) {
        step(next++);
      }
    }

    void done(boolean good) {
      all &= good;
      ended++;
      if (ended == count) {
        finished(all);
      } else if (next < count) {
        step(next++);
      }
    }
  }
}
