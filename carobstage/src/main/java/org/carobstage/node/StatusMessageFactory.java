package org.carobstage.node;

import java.util.List;
import org.carobstage.group.Group;
import org.carobstage.group.GroupView;
import org.carobstage.group.GroupView.Observation;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.operator.StatusMessage;
import org.carobstage.operator.StatusMessage.GroupStatus;
import org.carobstage.operator.StatusMessage.InstanceStatus;
import org.carobstage.runtime.BuildInfo;
import org.carobstage.settings.Settings;

/** Creates the status message of a process. */
final class StatusMessageFactory {
    private static final int UNKNOWN = -1;

    private StatusMessageFactory() {}

    static StatusMessage of(Settings settings, Proxy proxy, boolean isReady) {
        return new StatusMessage(
                settings.vm().id().value(),
                settings.vm().domain().value(),
                BuildInfo.current().toString(),
                isReady,
                proxy.groups().stream().map(StatusMessageFactory::toGroupStatus).toList(),
                List.of());
    }

    private static GroupStatus toGroupStatus(Group group) {
        GroupView view = group.view();
        return new GroupStatus(
                view.spec().id().value(),
                view.highestTerm().number(),
                view.primary().map(status -> status.instance().value()).orElse(""),
                view.spec().instances().stream()
                        .map(instance -> toInstanceStatus(group, instance))
                        .toList());
    }

    private static InstanceStatus toInstanceStatus(Group group, InstanceSpec spec) {
        InstanceId id = spec.id();
        Observation observation = group.view().observations().get(id);
        return new InstanceStatus(
                id.value(),
                observation == null ? UNKNOWN : observation.status().promisedTerm().number(),
                observation == null ? UNKNOWN : observation.status().lastPosition().offset(),
                observation == null ? UNKNOWN : observation.status().lagMillis(),
                group.pool(id).quota().slots(),
                group.pool(id).quota().connections(),
                group.pool(id).outstandingCount());
    }
}
