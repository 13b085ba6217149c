package amberhoist.config;

import amberhoist.config.schema.Schema.Key;
import amberhoist.config.schema.Setting;
import amberhoist.config.schema.Values;
import amberhoist.log.Event;
import java.util.Map;

/** Writes the pages that are made from the code: the reference of keys, the example file, the list of events. */
public final class Reference {
  private static final String SOURCES = """
      # Configuration

      Made by `bin/amberhoist config reference`; a test fails when it is stale.

      The platform's JSON (`LB_CONFIG`) says what the platform wants. The operator's own file is TOML and holds the
      keys below; every key has a default, and a proxy without the file runs by the defaults. It is named with
      `--config FILE` or in `AMBERHOIST_CONFIG`; `deploy/amberhoist.toml` is an example with every key.

      **Precedence**, the last goes before all others: defaults, operator's file, platform's JSON, environment
      (`LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY`, `LB_CONFIG`, and `AMBERHOIST_` with the key's path for each key, as in
      `AMBERHOIST_LOG_LEVEL`), flags (`--set log.level=debug`).

      **Units** stand in the value: times as `"250ms"` (`us`, `ms`, `s`, `m`, `h`), sizes as `"64KiB"` (`B`, `KiB`,
      `MiB`, `GiB`).

      **Checks.** `bin/amberhoist config check FILE...` tells all that is wrong at once: file, line, key, what was
      expected, the nearest known key. Nothing starts on a bad file. `config show` prints what holds, and where each
      value comes from.

      **Reload.** SIGHUP reads everything again, all or nothing. Keys marked *restart* keep their old value and are
      named in the log. `LB_DISCOVERY` counts at the start only: after SIGHUP the files say where the directory is.
      """;

  private Reference() {}

  /** The reference page of keys. */
  public static String page() {
    return SOURCES + Keys.SCHEMA.reference();
  }

  /** The example file: every key at its default. */
  public static String example() {
    StringBuilder out = new StringBuilder("# The operator's file: every key, each at its default.\n"
        + "# Made by `bin/amberhoist config reference --toml`; docs/configuration.md says more.\n");
    for (Map.Entry<String, Setting> table : Keys.SCHEMA.tables().entrySet()) {
      out.append("\n# ").append(table.getValue().value()).append("\n[").append(table.getKey()).append("]\n");
      for (Key key : Keys.SCHEMA.keys().values()) {
        if (key.path().startsWith(table.getKey() + '.')) {
          Setting setting = key.setting();
          out.append("# ").append(setting.value());
          if (!setting.max().isEmpty()) {
            out.append(' ').append(setting.min()).append(" to ").append(setting.max()).append('.');
          }
          out.append(setting.restart() ? " A change needs a restart.\n" : "\n")
              .append(key.path().substring(key.path().indexOf('.') + 1)).append(" = ")
              .append(Values.toml(key.initial())).append('\n');
        }
      }
    }
    return out.toString();
  }

  /** The effective keys of a reading, and where each comes from. */
  public static String show(Setup.Reading reading) {
    StringBuilder out = new StringBuilder();
    Keys.SCHEMA.values(reading.operator()).forEach((path, value) -> out.append(String.format(
        "%-26s = %-24s # %s%n", path, Values.toml(value), reading.origins().getOrDefault(path, "default"))));
    return out.toString();
  }

  /** The page of log events. */
  public static String events() {
    StringBuilder out = new StringBuilder("""
        # Log events

        Made by `bin/amberhoist config reference --events`; a test fails when it is stale.

        Every line carries its event's name, the instance and the fields named below; JSON lines (`log.format =
        "json"`) also `time`, `level`, `logger` and `message`. *Limited* events can be brought about at will by clients
        or providers: each is told `log.rate` times a second at most after a burst of `log.burst`; the next line of the
        event carries `suppressed` with the number left out, or `log.suppressed` tells it within 10 s.

        | event | level | limited | fields | meaning |
        | --- | --- | --- | --- | --- |
        """);
    for (Event event : Event.values()) {
      out.append("| `").append(event.id()).append("` | ").append(event.level()).append(" | ")
          .append(event.isRateLimited() ? "yes" : "").append(" | ").append(String.join(", ", event.fields()))
          .append(" | ").append(event.meaning()).append(" |\n");
    }
    return out.toString();
  }
}
