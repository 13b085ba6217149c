package amberhoist.config.schema;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Describes a key or a table of a TOML file, for validation and for the reference page. The type is that of the record
 * component.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.RECORD_COMPONENT, ElementType.TYPE})
public @interface Setting {
  /** The purpose and effect of the key or table, as Markdown. */
  String value();

  /** The minimum value, written as in the file; empty for no minimum. */
  String min() default "";

  /** The maximum value, written as in the file; empty for no maximum. */
  String max() default "";

  /** Whether a change takes effect only after a restart. */
  boolean restart() default false;
}
