package node

import (
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/platform/dynamotable"
	"martenwheel.dev/pkg/platform/machinelist"
	"martenwheel.dev/pkg/platform/s3objects"
	"martenwheel.dev/pkg/settings"
)

// TablePartition is the partition key of all records of martenwheel.
const TablePartition = "martenwheel"

// platformClients are the clients of the platform's services.
type platformClients struct {
	table    platform.Table
	objects  platform.Objects
	machines platform.Machines
}

// newPlatformClients creates the clients without sending any request.
func newPlatformClients(config settings.Platform) (platformClients, error) {
	objects, err := s3objects.New(s3objects.Config{
		Endpoint:  config.Objects.Endpoint,
		Region:    config.Table.Region,
		Bucket:    config.Objects.Bucket,
		AccessKey: config.Objects.AccessKey,
		SecretKey: string(config.Objects.SecretKey),
	})
	if err != nil {
		return platformClients{}, err
	}
	table := dynamotable.New(dynamotable.Config{
		Endpoint:  config.Table.Endpoint,
		Region:    config.Table.Region,
		Table:     config.Table.Name,
		Partition: TablePartition,
		AccessKey: config.Table.AccessKey,
		SecretKey: string(config.Table.SecretKey),
	})
	machines := machinelist.New(machinelist.Config{Endpoint: config.Machines.Endpoint})
	return platformClients{table: table, objects: objects, machines: machines}, nil
}
